package pipeline

import (
	"context"
	"log"
	"net/http"
	"runtime/debug"
)

// aheadRequest is a request that has started ahead of its turn.
type aheadRequest struct {
	request *http.Request
	// headBytes is the length of its head.
	headBytes int
	response  *recorder
	cancel    context.CancelFunc
	// release ends the reservation of the bytes to record.
	release func()
	// done is closed when the handler has returned. panicked is set before.
	done     chan struct{}
	panicked bool
}

// newAheadRequest returns a request whose context is derived from base. run starts it.
func newAheadRequest(base context.Context, r *http.Request, headBytes, recordBytes int) *aheadRequest {
	ctx, cancel := context.WithCancel(base)
	return &aheadRequest{
		request: r.WithContext(ctx), headBytes: headBytes, response: newRecorder(recordBytes),
		cancel: cancel, release: func() {}, done: make(chan struct{}),
	}
}

// run runs the handler. As in net/http, a panic is logged and ends the connection, which
// forward does.
func (a *aheadRequest) run(h http.Handler) {
	defer close(a.done)
	defer a.cancel()
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		a.panicked = true
		if v != http.ErrAbortHandler {
			logPanic(a.request, v)
		}
	}()
	h.ServeHTTP(a.response, a.request)
}

func logPanic(r *http.Request, v any) {
	logf := log.Printf
	if s, ok := r.Context().Value(http.ServerContextKey).(*http.Server); ok && s.ErrorLog != nil {
		logf = s.ErrorLog.Printf
	}
	logf("http: panic serving %v: %v\n%s", r.RemoteAddr, v, debug.Stack())
}

// forward writes the response to w at the turn of the request, which the server has parsed
// as r, and waits for the handler.
func (a *aheadRequest) forward(w http.ResponseWriter, r *http.Request) {
	defer a.release()
	defer context.AfterFunc(r.Context(), a.abort)()
	if a.response.forward(w) != nil {
		a.abort()
	}
	<-a.done
	if a.panicked {
		panic(http.ErrAbortHandler)
	}
	a.response.finish(w)
}

// abort cancels the request. Its response can no longer be delivered.
func (a *aheadRequest) abort() {
	a.cancel()
	a.response.fail()
	a.release()
}
