package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/settings"
)

// pipelineDepths are the settings with which tests of connections run: pipelined requests one
// by one, and concurrently.
var pipelineDepths = []int{1, 8}

func pipelined(depth int) func(*settings.Config) {
	return func(cfg *settings.Config) { cfg.PipelineDepth = depth }
}

// Callers pipeline requests on a connection. With a depth above 1 they run concurrently on the
// instances of their service; before, each waited for the response to the one before it, so
// that the caller waited for the sum of their service times.
func TestPipelinedRequestsOverlap(t *testing.T) {
	const serviceTime = 200 * time.Millisecond
	for _, depth := range pipelineDepths {
		t.Run(fmt.Sprintf("depth %d", depth), func(t *testing.T) {
			var mu sync.Mutex
			running, most := map[string]bool{}, 0
			instance := func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/" {
					mu.Lock()
					running[r.URL.Path] = true
					most = max(most, len(running))
					mu.Unlock()
					time.Sleep(serviceTime)
					mu.Lock()
					delete(running, r.URL.Path)
					mu.Unlock()
				}
				_, _ = io.WriteString(w, r.URL.Path)
			}
			front, _ := startTransferPair(t, instance, pipelined(depth))
			second := httptest.NewServer(http.HandlerFunc(instance))
			defer second.Close()
			a := guard.Announcement{Service: "s", Address: strings.TrimPrefix(second.URL, "http://"), Slots: 8}
			assert.NilError(t, front.guard.Announce(time.Now(), "j", a))

			nc, err := net.Dial("tcp", front.cfg.Load().Callers)
			assert.NilError(t, err)
			defer func() { _ = nc.Close() }()
			begin := time.Now()
			const head = " HTTP/1.1\r\nHost: a\r\n\r\n"
			_, err = io.WriteString(nc, "GET /first"+head+"GET /second"+head+"GET /third"+head)
			assert.NilError(t, err)
			in := bufio.NewReader(nc)
			for _, want := range []string{"/first", "/second", "/third"} {
				resp, err := http.ReadResponse(in, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), want)
			}
			took := time.Since(begin)
			t.Logf("three requests of %v took %v", serviceTime, took)
			if depth == 1 {
				assert.Equal(t, most, 1)
				assert.Assert(t, took >= 3*serviceTime, "%v", took)
				return
			}
			assert.Equal(t, most, 3)
			assert.Assert(t, took < 2*serviceTime, "%v", took)
		})
	}
}
