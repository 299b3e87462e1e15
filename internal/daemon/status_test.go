package daemon

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/verdict"
)

// Guards against callers that get the invalid status of an instance in trouble as a response: from
// an instance on this host and on another one, whether or not the connection stays open.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	front, host := startTransferPair(t, func(w http.ResponseWriter, r *http.Request) {
		status, invalid := strings.CutPrefix(r.URL.Path, "/invalid/")
		if !invalid {
			return
		}
		nc, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(rw, "HTTP/1.1 "+status+" X\r\nContent-Length: 4\r\n\r\nbody")
		_ = rw.Flush()
		_, _ = io.Copy(io.Discard, rw)
		_ = nc.Close()
	})
	for _, d := range []*Daemon{front, host} {
		for _, status := range []string{"000", "099", "101", "-00", "600", "999"} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				req, err := http.NewRequest(method, "http://"+d.cfg.Load().Callers+"/invalid/"+status, nil)
				assert.NilError(t, err)
				resp, err := http.DefaultClient.Do(req)
				assert.NilError(t, err, "%s %s", method, status)
				_ = resp.Body.Close()
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%s %s", method, status)
				assert.Equal(t, resp.Header.Get(verdict.Header), verdict.MayHaveRun.String())
			}
		}
	}
}
