package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// declaredLengths are legal and illegal lengths, near the limits of the types that may hold them.
var declaredLengths = []string{
	"0", "4", "5", "262144", "2147483647", "2147483648", "4294967296", "9223372036854775807", "9223372036854775808",
	"18446744073709551615", "99999999999999999999999", "-1", "+4", "4, 4", "4, 5", "0x4", "4.0", "",
}

// declaredChunkSizes are the same for the size of a chunk, in hexadecimal digits.
var declaredChunkSizes = []string{"0", "4", "7fffffffffffffff", "8000000000000000", "ffffffffffffffff", "10000000000000000", "-1", "g", "4;extension=x", ""}

// drawResponse draws the bytes of a response that declares one absurd value or more.
func drawResponse(t *rapid.T) string {
	var out strings.Builder
	draw := func(label string, from ...string) string { return rapid.SampledFrom(from).Draw(t, label) }
	for range rapid.IntRange(0, 3).Draw(t, "interim responses") {
		out.WriteString(draw("interim", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.1 099 Odd\r\n\r\n"))
	}
	out.WriteString(draw("version", "HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0", "HTTP/9.9", "ICY"))
	out.WriteString(" " + draw("status", "200", "200", "200", "204", "206", "304", "404", "500", "503", "999", "1000", "-20", "") + " X\r\n")
	fields := rapid.SampledFrom([]int{0, 1, 100, 5000}).Draw(t, "fields")
	for n := range fields {
		_, _ = fmt.Fprintf(&out, "X-Field-%d: %d\r\n", n, n)
	}
	out.WriteString(draw("connection", "", "Connection: close\r\n", "Connection: keep-alive\r\nKeep-Alive: timeout=9223372036854775807\r\n", "Keep-Alive: timeout=-1, max=18446744073709551615\r\n"))
	out.WriteString(draw("retry after", "", "Retry-After: 99999999999999999999\r\n", "Retry-After: -1\r\n"))
	chunked := rapid.Bool().Draw(t, "chunked")
	if chunked {
		out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if !chunked || rapid.Bool().Draw(t, "both") {
		out.WriteString("Content-Length: " + rapid.SampledFrom(declaredLengths).Draw(t, "length") + "\r\n")
	}
	out.WriteString("\r\n")
	if !chunked {
		return out.String() + draw("body", "", "good", "goodgood")
	}
	for range rapid.IntRange(0, 3).Draw(t, "chunks") {
		out.WriteString(rapid.SampledFrom(declaredChunkSizes).Draw(t, "chunk size") + "\r\ngood\r\n")
	}
	out.WriteString(draw("end", "", "0\r\n\r\n", "0\r\nTrailer: x\r\n\r\n", "0\r\nTrailer: "+strings.Repeat("x", 100_000)+"\r\n\r\n"))
	return out.String()
}

// completeBody returns the body of a response and whether it is complete.
func completeBody(raw string) ([]byte, bool) {
	in := bufio.NewReader(strings.NewReader(raw))
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return nil, false
		}
		if resp.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(resp.Body)
			return body, err == nil
		}
	}
}

// Guards against values that an instance declares and that end a process, use memory by what is
// declared, keep a request beyond its deadline or make a truncated body look complete.
func TestDeclaredValuesOfResponsesAreHarmless(t *testing.T) {
	const allowedBytes = 24 << 20
	var response atomic.Pointer[string]
	var sent, drawn atomic.Int64
	front, _ := startTransferPair(t, func(w http.ResponseWriter, r *http.Request) {
		raw := response.Load()
		if r.URL.Path != "/drawn" || raw == nil {
			_, _ = io.WriteString(w, "sound")
			return
		}
		nc, out, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		sent.Add(1)
		_, _ = out.WriteString(*raw)
		_ = out.Flush()
		_ = nc.Close()
	})
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + front.cfg.Load().Callers
	rapid.Check(t, func(t *rapid.T) {
		raw := drawResponse(t)
		response.Store(&raw)
		drawn.Add(1)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		status, body, err := getBody(client, url+"/drawn")
		runtime.ReadMemStats(&after)
		allocated := after.TotalAlloc - before.TotalAlloc
		assert.Check(t, allocated < allowedBytes, "%d bytes allocated for %q", allocated, raw)
		if err == nil && status/100 == 2 {
			want, complete := completeBody(raw)
			assert.Check(t, complete && bytes.Equal(body, want), "the caller got %q for %q", body, raw)
		}
	})
	assert.Check(t, sent.Load() >= drawn.Load(), "%d responses were drawn and %d sent", drawn.Load(), sent.Load())
	for deadline := time.Now().Add(10 * time.Second); ; {
		status, body, err := getBody(client, url+"/sound")
		if err == nil && status == http.StatusOK && string(body) == "sound" {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "status %d, body %q, error %v", status, body, err)
		time.Sleep(100 * time.Millisecond)
	}
}

func getBody(client *http.Client, url string) (status int, body []byte, err error) {
	resp, err := client.Get(url)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}
