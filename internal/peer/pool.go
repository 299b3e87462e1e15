// Package peer holds this process's connections to the other hosts: one
// outbound connection a host, made on demand, and the inbound ones.
package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/port"
	"github.com/radishhoist/radishhoist/internal/wire"
)

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond
	// backoffMin and backoffMax bound the pause after a failed attempt.
	backoffMin = 100 * time.Millisecond
	backoffMax = 3 * time.Second
	// idleClose is how long a connection without streams is kept.
	idleClose = 5 * time.Minute
	// maxInbound bounds the connections other hosts may open to this one.
	maxInbound = 8192
	// helloTimeout bounds the wait for an inbound connection's Hello.
	helloTimeout = 5 * time.Second
)

// keepAlive finds connections whose other end is gone or cut off.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// Handlers take what other hosts start.
type Handlers struct {
	// Stream is called in a goroutine of its own for each stream.
	Stream func(from *msg.Hello, s wire.Stream)
	// Control is called in order for each host's messages; it must not block.
	Control func(from *msg.Hello, m msg.Message)
}

// Pool is the set of connections. It is safe for concurrent use.
type Pool struct {
	self     msg.Hello
	handlers Handlers
	log      *slog.Logger
	listener net.Listener
	connect  connectFunc
	wg       sync.WaitGroup

	mu sync.Mutex
	// checkedAt is when the quiet connections were last asked for a sign of life.
	checkedAt time.Time
	closed    bool
	links     map[string]*link
	inbound   map[*wire.Conn]*msg.Hello
}

// connectFunc makes one connection to a peer address.
type connectFunc func(ctx context.Context, network, address string) (net.Conn, error)

// link is the outbound connection to one address.
type link struct {
	mu      sync.Mutex
	conn    *wire.Conn
	retryAt time.Time
	backoff time.Duration
	lastErr error
	used    time.Time
	// dialling is closed when the attempt under way has ended, nil for none.
	dialling chan struct{}
	// retired are connections in doubt that were replaced while something was under
	// way on them.
	retired []*wire.Conn
	// renewAt is when a connection in doubt may be replaced again, and renewal the
	// pause before the next one.
	renewAt time.Time
	renewal time.Duration
}

// Listen starts a Pool that takes connections on addr, IP:port.
func Listen(addr string, self msg.Hello, h Handlers, log *slog.Logger) (*Pool, error) {
	listener, err := port.Listen("peers", addr)
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return newPool(listener, dialer.DialContext, self, h, log), nil
}

func newPool(listener net.Listener, connect connectFunc, self msg.Hello, h Handlers, log *slog.Logger) *Pool {
	self.Proto = wire.ProtocolVersion
	p := &Pool{
		self: self, handlers: h, log: log, listener: listener, connect: connect,
		links: make(map[string]*link), inbound: make(map[*wire.Conn]*msg.Hello),
	}
	p.wg.Add(1)
	go p.acceptLoop()
	return p
}

// Close ends every connection and waits for the accept loop.
func (p *Pool) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
	for c := range p.inbound {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
	for _, c := range l.retired {
		c.Close()
	}
}

func (p *Pool) acceptLoop() {
	defer p.wg.Done()
	for {
		nc, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		full := len(p.inbound) >= maxInbound || p.closed
		p.mu.Unlock()
		if full {
			_ = nc.Close()
			continue
		}
		p.wg.Add(1)
		go p.serve(nc)
	}
}

// serve takes one inbound connection. Its first message must be Hello.
func (p *Pool) serve(nc net.Conn) {
	defer p.wg.Done()
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	hello := make(chan *msg.Hello, 1)
	var from *msg.Hello
	ready := make(chan struct{})
	conn := wire.NewConn(nc, wire.Handlers{
		Accept: func(s wire.Stream) {
			<-ready
			p.handlers.Stream(from, s)
		},
		Control: func(m msg.Message) {
			if h, ok := m.(*msg.Hello); ok {
				select {
				case hello <- h:
				default:
				}
				<-ready
				return
			}
			select {
			case <-ready:
				p.handlers.Control(from, m)
			default:
			}
		},
	})
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case from = <-hello:
	case <-timer.C:
		from = &msg.Hello{}
	case <-conn.Done():
		from = &msg.Hello{}
	}
	if from.Proto != wire.ProtocolVersion {
		event.Log(p.log, event.PeerRefused, slog.String("peer", nc.RemoteAddr().String()),
			slog.Uint64("proto", uint64(from.Proto)), slog.String("peer", from.Host))
		conn.Close()
	}
	p.track(conn, from)
	close(ready)
	<-conn.Done()
	p.untrack(conn, from)
}

func (p *Pool) track(c *wire.Conn, from *msg.Hello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
	}
	p.inbound[c] = from
}

func (p *Pool) untrack(c *wire.Conn, from *msg.Hello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inbound, c)
	if err := c.Err(); err != nil && from.Host != "" && !p.closed {
		event.Log(p.log, event.LinkLost, slog.String("peer", from.Host),
			slog.String("direction", "in"), slog.String("cause", err.Error()))
	}
}

// Open starts a stream to the host at an address, on its connection or a new one.
func (p *Pool) Open(ctx context.Context, addr string) (wire.Stream, *wire.Conn, error) {
	conn, err := p.Conn(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	s, err := conn.Open()
	return s, conn, err
}

// Conn gives the connection to a peer address, making it where there is none.
// While a recent attempt has failed it returns that error at once.
func (p *Pool) Conn(ctx context.Context, addr string) (*wire.Conn, error) {
	l, err := p.link(addr)
	if err != nil {
		return nil, err
	}
	for {
		conn, wait, err := l.get(func() { go p.dialLink(l, addr) })
		if wait == nil {
			return conn, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// get gives the connection or the last error, or a channel to wait on while
// an attempt is under way, which it starts where needed.
func (l *link) get(dial func()) (*wire.Conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.used = now
	switch {
	case l.dialling != nil:
		return nil, l.dialling, nil
	case l.usable() && !l.renews(now):
		return l.conn, nil, nil
	case !l.usable() && now.Before(l.retryAt):
		return nil, nil, l.lastErr
	}
	l.dialling = make(chan struct{})
	dial()
	return nil, l.dialling, nil
}

// dialLink makes one attempt to connect and records how it ended.
func (p *Pool) dialLink(l *link, addr string) {
	conn, err := p.dial(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialling)
	l.dialling = nil
	switch {
	case err != nil && l.usable():
		// The host may be frozen: what stands goes on when it wakes.
	case err != nil:
		l.backoff = min(max(2*l.backoff, backoffMin), backoffMax)
		l.retryAt = time.Now().Add(l.backoff)
		l.lastErr = errors.Wrapf(err, "connect to %s", addr)
	default:
		l.replace(conn)
	}
}

func (p *Pool) link(addr string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, wire.ErrClosed
	}
	l, ok := p.links[addr]
	if !ok {
		l = &link{}
		p.links[addr] = l
	}
	return l, nil
}

func (p *Pool) dial(addr string) (*wire.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := p.connect(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn := wire.NewConn(nc, wire.Handlers{OnSuspect: p.checkQuiet})
	hello := p.self
	if err := conn.SendControl(ctx, &hello); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// Sweep closes connections that have been idle for long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		l.mu.Lock()
		idle := time.Since(l.used) > idleClose
		if idle && l.conn != nil && l.conn.Streams() == 0 {
			l.conn.Close()
		}
		l.closeRetired()
		if idle && l.dialling == nil && (l.conn == nil || l.conn.Err() != nil) && len(l.retired) == 0 {
			delete(p.links, addr)
		}
		l.mu.Unlock()
	}
}

// Stats counts the connections, for the state dump.
type Stats struct {
	Outbound int    `json:"outbound"`
	Inbound  int    `json:"inbound"`
	Streams  int    `json:"streams"`
	Strays   uint64 `json:"strayFrames"`
}

// Stats reads the counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Inbound: len(p.inbound)}
	for c := range p.inbound {
		s.Streams += c.Streams()
		s.Strays += c.StrayFrames()
	}
	for _, l := range p.links {
		l.mu.Lock()
		if l.conn != nil && l.conn.Err() == nil {
			s.Outbound++
			s.Streams += l.conn.Streams()
			s.Strays += l.conn.StrayFrames()
		}
		l.mu.Unlock()
	}
	return s
}
