// Package targetconn is an HTTP/1.1 client for one target that says exactly how
// far a request got, repeats nothing by itself, and hands out no answer that
// belongs to another request.
//
// The client of net/http does not fit here: it repeats a request by itself on a
// fresh connection where a kept one breaks, which would be an arrival at the
// target that no budget knows of, and it takes the first bytes that come for
// the answer, also where the target has sent an answer too many before.
package targetconn

import (
	"context"
	"net"
	"sync"
	"time"
)

// Config has the parameters of a Pool.
type Config struct {
	// Address is where the target answers HTTP, IP:port.
	Address string
	// MaxConns bounds the connections held at once; a request over it fails
	// without having been sent.
	MaxConns int
	// Idle is how long an idle connection is kept. A target that names a
	// shorter time in Keep-Alive is believed. Longer saves new connections;
	// it should stay under the target's own idle time.
	Idle time.Duration
	// DialTimeout bounds one attempt to connect.
	DialTimeout time.Duration
	// Dial connects in place of the network; nil uses that.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// EchoesRequestID says that every answer of the target repeats the
	// request's id, so that one without it belongs to no request.
	EchoesRequestID bool
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu     sync.Mutex
	idle   []*conn
	held   int
	closed bool
}

// New makes a Pool without connections.
func New(cfg Config) *Pool { return &Pool{cfg: cfg} }

// CloseIdle closes the idle connections, and later every other one at the end
// of its request.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// Sweep closes connections that have been idle too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// take gives an idle connection that still lives, the one used last first, or
// makes a new one.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		c, err := p.reserve()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.idleUntil) && c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
}

// reserve takes an idle connection, or room for a new one, which gives nil.
func (p *Pool) reserve() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.held >= p.cfg.MaxConns {
		return nil, errFull
	}
	p.held++
	return nil, nil
}

// connect makes one connection to the target.
func (c *Config) connect(ctx context.Context) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, c.Address)
	}
	dialer := net.Dialer{Timeout: c.DialTimeout}
	return dialer.DialContext(ctx, "tcp", c.Address)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	nc, err := p.cfg.connect(ctx)
	if err != nil {
		p.mu.Lock()
		p.held--
		p.mu.Unlock()
		return nil, err
	}
	return newConn(nc), nil
}

// Probe makes one new connection, to see whether the target takes any, and keeps it
// for the next request. A pool at its bound cannot tell, which is no error.
func (p *Pool) Probe(ctx context.Context) error {
	p.mu.Lock()
	full := p.held >= p.cfg.MaxConns
	if !full {
		p.held++
	}
	p.mu.Unlock()
	if full {
		return nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	c.idleUntil = time.Now().Add(p.cfg.Idle)
	p.put(c)
	return nil
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	keep := !p.closed
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	}
}

func (p *Pool) drop(c *conn) {
	_ = c.nc.Close()
	p.mu.Lock()
	p.held--
	p.mu.Unlock()
}
