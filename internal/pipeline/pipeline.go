// Package pipeline runs the requests that a caller pipelines on one HTTP/1.1 connection
// concurrently. The server stays net/http, which reads a request only after it has responded
// to the one before. Conn wraps the caller's connection: while a handler runs, it reads
// ahead and passes further requests to the handler with a ResponseWriter that records. The
// server gets the bytes of one request after the other, and at a request that runs already
// the wrapped handler forwards the recorded response. Order and framing of responses,
// limits and timeouts stay those of net/http.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Config holds the parameters of a Pipeline.
type Config struct {
	// Depth is the maximum number of requests of one connection that are handled at the
	// same time, including those whose response waits for its turn.
	Depth int
	// MaxHeaderBytes is that of the server, which must be set. A connection reads ahead
	// little more than that.
	MaxHeaderBytes int
	// MaxRecordBytes bounds the sum of what MayOverlap allows to be recorded for the requests
	// of all connections that have started ahead. Beyond it, requests wait for their turn. 0
	// is no bound.
	MaxRecordBytes int64
	// MayOverlap decides whether a request may run at the same time as others of its
	// connection. It returns the number of bytes of its response that may be recorded.
	// It must not block.
	MayOverlap func(r *http.Request) (recordBytes int, ok bool)
	// HoldAhead asks to hold n bytes more of what a caller sends while a request of its connection
	// is handled. If it returns false, nothing more is read before the request's turn is over. nil
	// permits all.
	HoldAhead func(nc net.Conn, n int) bool
	// Started is called for each request that starts ahead of its turn.
	Started func()
}

// Pipeline connects wrapped connections with a handler. The handler must not modify its
// requests.
type Pipeline struct {
	cfg     Config
	handler http.Handler
	// reserved is the sum that MaxRecordBytes bounds.
	reserved atomic.Int64
}

// New returns a Pipeline for a handler.
func New(cfg Config, handler http.Handler) *Pipeline {
	return &Pipeline{cfg: cfg, handler: handler}
}

// reserve reserves n bytes for a response to record and reports whether the bound permits it.
func (p *Pipeline) reserve(n int) bool {
	if reserved := p.reserved.Add(int64(n)); p.cfg.MaxRecordBytes > 0 && reserved > p.cfg.MaxRecordBytes {
		p.release(n)
		return false
	}
	return true
}

func (p *Pipeline) release(n int) { p.reserved.Add(-int64(n)) }

// Listener wraps the listener of the server.
func (p *Pipeline) Listener(l net.Listener) net.Listener { return &listener{Listener: l, pipeline: p} }

type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(l.pipeline, nc), nil
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// ConnContext is the server's ConnContext. It gives the handler access to the connection.
func (p *Pipeline) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*Conn)
	if !ok {
		return ctx
	}
	c.base = context.WithValue(ctx, http.LocalAddrContextKey, c.LocalAddr())
	return context.WithValue(ctx, connKey{}, c)
}

// ServeHTTP implements http.Handler. It forwards the response of a request that has started
// ahead of its turn, and passes others to the handler.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		p.handler.ServeHTTP(w, r)
		return
	}
	started := c.begin(r)
	defer c.end()
	if started == nil {
		p.handler.ServeHTTP(w, r)
		return
	}
	if !sameRequest(started.request, r) {
		started.abort()
		panic(http.ErrAbortHandler)
	}
	started.forward(w, r)
}
