package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/port"
)

// proxy forwards connections from one host to the platform and simulates network faults.
type proxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	mode  FaultKind
	conns map[*proxyConn]struct{}
}

// proxyConn is one proxied connection.
type proxyConn struct {
	proxy            *proxy
	client, upstream net.Conn
	closeOnce        sync.Once
	mu               sync.Mutex
	// silenced is set if the connection stays open without passing data.
	silenced bool
}

// slowDelay is the delay that CutSlow adds before each write.
const slowDelay = 250 * time.Millisecond

// startProxy listens on an address and forwards its connections to upstream.
func startProxy(address, upstream string) (*proxy, error) {
	l, err := port.Listen("a proxy", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, upstream: upstream, conns: make(map[*proxyConn]struct{})}
	go p.accept()
	return p, nil
}

// setMode sets the network fault to simulate, "" for none. Connections that were open under
// CutSilent pass no data afterwards either.
func (p *proxy) setMode(mode FaultKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for c := range p.conns {
		switch mode {
		case CutSilent:
			c.silence()
		case CutReset:
			go c.reset()
		}
	}
}

func (p *proxy) currentMode() FaultKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// close closes the listener and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		go c.reset()
	}
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	mode := p.currentMode()
	c := &proxyConn{proxy: p, client: client}
	if mode == CutReset {
		c.reset()
		return
	}
	upstream, err := net.Dial("tcp", p.upstream)
	if err != nil {
		c.reset()
		return
	}
	c.upstream, c.silenced = upstream, mode == CutSilent
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	go c.copy(upstream, client)
	c.copy(client, upstream)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards data in one direction until the connection ends. On a silenced connection it discards
// the data and does not pass on the end of the stream.
func (c *proxyConn) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.isSilenced() {
			if c.proxy.currentMode() == CutSlow {
				time.Sleep(slowDelay)
			}
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) || !c.isSilenced() {
				c.close()
			}
			return
		}
	}
}

func (c *proxyConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silenced = true
}

func (c *proxyConn) isSilenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silenced
}

// reset closes the connection with a TCP reset.
func (c *proxyConn) reset() {
	if tcp, ok := c.client.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

func (c *proxyConn) close() {
	c.closeOnce.Do(func() {
		_ = c.client.Close()
		if c.upstream != nil {
			_ = c.upstream.Close()
		}
	})
}
