package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/membudget"
	"github.com/radishhoist/radishhoist/internal/settings"
)

// smallestHost are the limits of the smallest hosts in use.
func smallestHost(cfg *settings.Config) { cfg.MemoryMB, cfg.MaxFDs = 160, 4100 }

// The limits on what callers hold must not refuse a single request within the limits of its size,
// whatever its framing.
func TestLargestBodyIsServedOnSmallestHost(t *testing.T) {
	front, host := startTransferPair(t, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = fmt.Fprint(w, n)
	}, smallestHost)
	for _, d := range []*Daemon{front, host} {
		size := int64(d.cfg.Load().MaxBodyBytes)
		for _, declared := range []int64{size, -1} {
			req, err := http.NewRequest(http.MethodPost, "http://"+d.cfg.Load().Callers+"/upload", io.LimitReader(zeros{}, size))
			assert.NilError(t, err)
			req.ContentLength = declared
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			assert.NilError(t, err)
			assert.Equal(t, string(body), fmt.Sprint(size))
		}
		// The handler may still be returning.
		for end := time.Now().Add(20 * time.Second); d.front.Memory().UsedBytes > 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end))
		}
	}
}

// As long as there is room, a caller may pause for longer than callers without progress may when
// there is none.
func TestPausingCallerIsServedInCalm(t *testing.T) {
	front, _ := startTransferPair(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }, smallestHost)
	nc, err := net.Dial("tcp", front.cfg.Load().Callers)
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	for _, part := range []string{"POST /a HTTP/1.1\r\n", "Host: a\r\nContent-Length: 2\r\n\r\n", "x", "y"} {
		_, err := io.WriteString(nc, part)
		assert.NilError(t, err)
		time.Sleep(membudget.MinStall + 100*time.Millisecond)
	}
	assert.NilError(t, nc.SetReadDeadline(time.Now().Add(20*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, string(body), "xy")
}
