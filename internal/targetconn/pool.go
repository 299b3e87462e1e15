// Package targetconn provides an HTTP/1.1 client for one target. It reports whether
// any part of a failed request was sent, never retries, and never returns a response
// that belongs to another request.
//
// The net/http client is unsuitable for two reasons. It retries a request on a new
// connection when a reused one fails, and the retry budget does not count that
// attempt. It also takes the next bytes on the connection as the response, even if
// they are an extra response to an earlier request.
package targetconn

import (
	"context"
	"net"
	"sync"
	"time"
)

// Config is the configuration of a Pool.
type Config struct {
	// Address is the HTTP address of the target, IP:port.
	Address string
	// MaxConns is the maximum number of open connections. A request that would need
	// one more fails without being sent.
	MaxConns int
	// IdleTimeout is how long an idle connection is kept; a shorter timeout in the target's
	// Keep-Alive header takes precedence. A longer timeout saves new connections, but
	// it should stay below the target's own idle timeout.
	IdleTimeout time.Duration
	// DialTimeout is the timeout of one connection attempt.
	DialTimeout time.Duration
	// Dial replaces the default TCP dialer if it is not nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// EchoesRequestID states that the target repeats the request ID in its responses. A
	// successful response without an ID is then skipped, because it belongs to no request.
	EchoesRequestID bool
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle []*conn
	// openConns is the number of connections that are open or being opened.
	openConns int
	closed    bool
}

// New returns a Pool without connections.
func New(cfg Config) *Pool { return &Pool{cfg: cfg} }

// Close closes the idle connections now, and each other connection when its
// request has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Sweep closes the connections whose idle timeout has passed.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) {
			remaining = append(remaining, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = remaining
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// acquire returns a reusable idle connection, most recently used first, or opens a new
// one.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	for {
		c, err := p.popIdleOrReserve()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.idleUntil) && c.reusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// popIdleOrReserve returns an idle connection. If there is none, it counts a new one
// towards MaxConns, for the caller to open, and returns nil.
func (p *Pool) popIdleOrReserve() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.openConns >= p.cfg.MaxConns {
		return nil, errConnLimit
	}
	p.openConns++
	return nil, nil
}

// connect opens one connection to the target.
func (c *Config) connect(ctx context.Context) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, c.Address)
	}
	dialer := net.Dialer{Timeout: c.DialTimeout}
	return dialer.DialContext(ctx, "tcp", c.Address)
}

// dial opens a connection that the caller has already counted in p.openConns.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	nc, err := p.cfg.connect(ctx)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	return newConn(nc), nil
}

// Probe opens one new connection to check whether the target accepts connections, and
// keeps it for the next request. At the connection limit it checks nothing and returns
// nil.
func (p *Pool) Probe(ctx context.Context) error {
	p.mu.Lock()
	full := p.openConns >= p.cfg.MaxConns
	if !full {
		p.openConns++
	}
	p.mu.Unlock()
	if full {
		return nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	c.idleUntil = time.Now().Add(p.cfg.IdleTimeout)
	p.release(c)
	return nil
}

// release returns a connection to the pool for the next request.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	keep := !p.closed
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

// discard closes a connection that is not in p.idle.
func (p *Pool) discard(c *conn) {
	_ = c.nc.Close()
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}
