// Package memnet is a network within one process: a listener whose connections are
// pipes. Servers and clients over it run in virtual time.
package memnet

import (
	"context"
	"net"
	"sync"
)

// Listener takes the connections that Dial makes.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen makes a Listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial makes a connection to the listener, whatever the address.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "memnet", Net: "memnet"} }
