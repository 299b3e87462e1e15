package daemon

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/settings"
)

// Guards against callers with pipelined requests that make a small host hold more than its
// memory: what responses that wait for their turn take must be bounded over all connections.
func TestPipelinedResponsesFitSmallHost(t *testing.T) {
	const conns, depth, maxGrowth = 100, 16, (184*6/10 - 24) << 20
	front, _ := startTransferPair(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			select {
			case <-time.After(6 * time.Second):
			case <-r.Context().Done():
			}
		case "/large":
			_, _ = io.CopyN(w, zeros{}, 250<<10)
		}
	}, func(cfg *settings.Config) { cfg.PipelineDepth = depth })
	before := liveHeap()
	for range conns {
		c, err := net.Dial("tcp", front.cfg.Load().Callers)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"+strings.Repeat("GET /large HTTP/1.1\r\nHost: a\r\n\r\n", depth-1))
		assert.NilError(t, err)
	}
	growth := int64(0)
	for range 5 {
		time.Sleep(time.Second)
		growth = max(growth, liveHeap()-before)
	}
	t.Logf("%d connections: live heap grew by %.1f MB", conns, float64(growth)/(1<<20))
	assert.Assert(t, growth < maxGrowth)
}
