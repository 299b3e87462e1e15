// Package memnet provides an in-process network: a listener whose connections are
// in-memory pipes. Servers and clients that use it can run in virtual time.
package memnet

import (
	"context"
	"net"
	"sync"
)

// Listener is a net.Listener that accepts the connections made by Dial.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns an open Listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener. It ignores the network and address.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
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
