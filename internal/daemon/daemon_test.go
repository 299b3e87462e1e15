package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/standin/target"
)

// Runs two daemons and a target in one process, so that the race detector covers front,
// wire frames and guard with hedges, retries, large responses and idempotency keys.
// Shutdown must leave no goroutine running.
func TestConcurrentRequestsAndShutdown(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("load", func(t *testing.T) {
		p := startDaemonPair(t)
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
		defer client.CloseIdleConnections()
		for _, mode := range []target.Behaviour{
			{Mode: target.Good}, {Mode: target.Errors, Share: 0.3}, {Mode: target.Truncate, Share: 0.3},
		} {
			p.target.SetBehaviour(mode)
			sendConcurrently(t, client, p)
		}
		p.target.SetBehaviour(target.Behaviour{Mode: target.Good})
		assert.NilError(t, get(client, "http://"+p.front.cfg.Load().Callers+"/x?size=2000000"))
	})
	http.DefaultClient.CloseIdleConnections()
}

func sendConcurrently(t *testing.T, client *http.Client, p *daemonPair) {
	t.Helper()
	var wg sync.WaitGroup
	for n := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 12 {
				url := "http://" + []*Daemon{p.front, p.host}[i%2].cfg.Load().Callers + "/x?size=3000"
				req, err := http.NewRequest([]string{http.MethodGet, http.MethodPost}[n%2], url, strings.NewReader("body"))
				if err != nil {
					t.Error(err)
					return
				}
				if i%3 == 0 {
					req.Header.Set("Idempotency-Key", fmt.Sprintf("key-%d-%d", n, i))
				}
				resp, err := client.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				_ = resp.Body.Close()
			}
		}()
	}
	wg.Wait()
}
