// Package peer manages the connections between hosts. A host opens one outbound
// connection to each other host on demand and accepts inbound connections.
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
	// dialTimeout limits one connection attempt, including sending the Hello.
	dialTimeout = 500 * time.Millisecond
	// backoffMin and backoffMax bound the pause after a failed connection attempt.
	backoffMin = 100 * time.Millisecond
	backoffMax = 3 * time.Second
	// idleTimeout is how long an unused connection without streams is kept.
	idleTimeout = 5 * time.Minute
	// maxInbound is the maximum number of inbound connections.
	maxInbound = 8192
	// helloTimeout limits the wait for the Hello of an inbound connection.
	helloTimeout = 5 * time.Second
)

// keepAlive detects connections whose peer is down or unreachable.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// Handlers are the callbacks for inbound connections.
type Handlers struct {
	// Stream is called in a new goroutine for each stream that a peer opens.
	Stream func(from *msg.Hello, s wire.Stream)
	// Control is called for each control message, in order per connection. It must
	// not block.
	Control func(from *msg.Hello, m msg.Message)
}

// Pool is the set of connections to and from other hosts. It is safe for concurrent use.
type Pool struct {
	self     msg.Hello
	handlers Handlers
	log      *slog.Logger
	listener net.Listener
	dialPeer dialFunc
	wg       sync.WaitGroup

	mu sync.Mutex
	// lastQuietCheck is when the quiet connections were last pinged.
	lastQuietCheck time.Time
	closed         bool
	links          map[string]*link
	inbound        map[*wire.Conn]*msg.Hello
	// unidentified are the inbound connections without a Hello, by the time they were accepted.
	// maxUnidentified is their maximum number.
	unidentified    map[net.Conn]time.Time
	maxUnidentified int
}

// dialFunc opens a connection to a peer address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// link manages the outbound connection to one address.
type link struct {
	mu sync.Mutex
	// conn is the current connection, nil before the first is established. It may have
	// failed.
	conn *wire.Conn
	// After a failed attempt, lastErr is returned until retryAt, the end of the back-off.
	retryAt  time.Time
	backoff  time.Duration
	lastErr  error
	lastUsed time.Time
	// dialDone is closed when the attempt in progress ends; nil if there is none.
	dialDone chan struct{}
	// retired are replaced connections that still have open streams.
	retired []*wire.Conn
	// replaceAt is the earliest time at which a suspect connection may be replaced again.
	// replaceBackoff is the current back-off between replacements.
	replaceAt      time.Time
	replaceBackoff time.Duration
}

// Listen starts a Pool that accepts connections on addr, given as IP:port. At most
// maxUnidentified of them may not have said which host they are from.
func Listen(addr string, self msg.Hello, h Handlers, maxUnidentified int, log *slog.Logger) (*Pool, error) {
	listener, err := port.Listen("peers", addr)
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return newPool(listener, dialer.DialContext, self, h, maxUnidentified, log), nil
}

func newPool(listener net.Listener, dial dialFunc, self msg.Hello, h Handlers, maxUnidentified int, log *slog.Logger) *Pool {
	self.Proto = wire.ProtocolVersion
	p := &Pool{
		self: self, handlers: h, log: log, listener: listener, dialPeer: dial,
		links: make(map[string]*link), inbound: make(map[*wire.Conn]*msg.Hello),
		unidentified: make(map[net.Conn]time.Time), maxUnidentified: maxUnidentified,
	}
	p.wg.Add(1)
	go p.acceptLoop()
	return p
}

// Close closes every connection and waits for the accept loop and the inbound
// connections to end.
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
		if !p.admit(time.Now(), nc) {
			_ = nc.Close()
			continue
		}
		p.wg.Add(1)
		go p.serve(nc)
	}
}

// minUnidentifiedTime is how long a connection may take for its Hello before it can be closed for
// a new one.
const minUnidentifiedTime = time.Second

// admit reports whether an accepted connection may be served. If too many have not sent a Hello,
// the oldest of them is closed.
func (p *Pool) admit(now time.Time, nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.inbound) >= maxInbound || p.closed {
		return false
	}
	if len(p.unidentified) >= p.maxUnidentified {
		oldest := p.oldestUnidentified()
		if now.Sub(p.unidentified[oldest]) < minUnidentifiedTime {
			return false
		}
		delete(p.unidentified, oldest)
		_ = oldest.Close()
	}
	p.unidentified[nc] = now
	return true
}

// oldestUnidentified returns the connection that has been without a Hello for longest. The caller
// must hold p.mu.
func (p *Pool) oldestUnidentified() (oldest net.Conn) {
	for nc, at := range p.unidentified {
		if oldest == nil || at.Before(p.unidentified[oldest]) {
			oldest = nc
		}
	}
	return oldest
}

// serve handles one inbound connection until it ends. The first message must be a Hello
// with the same protocol version. Streams wait for it; other messages before it are
// dropped.
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
	p.track(nc, conn, from)
	close(ready)
	<-conn.Done()
	p.untrack(conn, from)
}

func (p *Pool) track(nc net.Conn, c *wire.Conn, from *msg.Hello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unidentified, nc)
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

// Open opens a stream to the host at addr and returns it with its connection. It
// establishes the connection if there is none.
func (p *Pool) Open(ctx context.Context, addr string) (wire.Stream, *wire.Conn, error) {
	conn, err := p.Conn(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	s, err := conn.Open()
	return s, conn, err
}

// Conn returns the connection to a peer address. It establishes one if there is none, and
// replaces a suspect one if due. During the back-off after a failed attempt, it immediately
// returns the error of that attempt.
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

// get returns the connection or the last error. If an attempt is in progress, or get
// starts one by calling dial, it instead returns a channel that is closed when the attempt
// ends.
func (l *link) get(dial func()) (*wire.Conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.lastUsed = now
	switch {
	case l.dialDone != nil:
		return nil, l.dialDone, nil
	case l.usable() && !l.beginReplacement(now):
		return l.conn, nil, nil
	case !l.usable() && now.Before(l.retryAt):
		return nil, nil, l.lastErr
	}
	l.dialDone = make(chan struct{})
	dial()
	return nil, l.dialDone, nil
}

// dialLink makes one connection attempt for a link and records its outcome.
func (p *Pool) dialLink(l *link, addr string) {
	conn, err := p.dial(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialDone)
	l.dialDone = nil
	switch {
	case err != nil && l.usable():
		// Keep the suspect connection, because a frozen host may recover.
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
	nc, err := p.dialPeer(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn := wire.NewConn(nc, wire.Handlers{OnSuspect: p.pingQuietConns})
	hello := p.self
	if err := conn.SendControl(ctx, &hello); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// CloseIdle closes idle connections and replaced ones without streams, and removes idle links
// that have no open connection. It must be called periodically.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		l.mu.Lock()
		idle := time.Since(l.lastUsed) > idleTimeout
		if idle && l.conn != nil && l.conn.StreamCount() == 0 {
			l.conn.Close()
		}
		l.closeRetired()
		if idle && l.dialDone == nil && (l.conn == nil || l.conn.Err() != nil) && len(l.retired) == 0 {
			delete(p.links, addr)
		}
		l.mu.Unlock()
	}
}

// Stats has the connection counts in the state dump.
type Stats struct {
	Outbound int `json:"outbound"`
	Inbound  int `json:"inbound"`
	Streams  int `json:"streams"`
	// StrayFrames counts the frames dropped because their stream was not open, on the
	// current connections.
	StrayFrames uint64 `json:"strayFrames"`
}

func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Inbound: len(p.inbound)}
	for c := range p.inbound {
		s.Streams += c.StreamCount()
		s.StrayFrames += c.StrayFrames()
	}
	for _, l := range p.links {
		l.mu.Lock()
		if l.conn != nil && l.conn.Err() == nil {
			s.Outbound++
			s.Streams += l.conn.StreamCount()
			s.StrayFrames += l.conn.StrayFrames()
		}
		l.mu.Unlock()
	}
	return s
}
