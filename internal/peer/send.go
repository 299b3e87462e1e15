package peer

import (
	"context"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
)

const (
	// livelyFor is how long a connection counts as alive after a frame. What is sent in
	// that time to a connection that has fallen silent is lost; the repair finds it.
	livelyFor = 2 * time.Second
	// signTimeout is how long a peer has for a sign of life: as long as a request waits
	// for a frame before its path counts as cut.
	signTimeout = 300 * time.Millisecond
	// renewalMin and renewalMax bound the time between two replacements of a connection
	// in doubt: a host that is frozen leaves all its connections without a sign.
	renewalMin = time.Second
	renewalMax = 30 * time.Second
	// checkInterval is the least time between two checks of all quiet connections.
	checkInterval = time.Second
)

// SendLossy sends a message that belongs to no stream to a peer, one that a newer one
// soon replaces: it may vanish in a connection that has fallen silent.
func (p *Pool) SendLossy(ctx context.Context, addr string, m msg.Message) error {
	conn, err := p.Conn(ctx, addr)
	if err != nil {
		return err
	}
	return conn.SendControl(ctx, m)
}

// SendControl sends a message that belongs to no stream to a peer. Where the peer
// cannot be reached now the message is lost and the sender told. A connection that was
// quiet for a while is asked for a sign of life, and where none comes the message goes
// out once more on a new one; the peer may get it twice.
func (p *Pool) SendControl(ctx context.Context, addr string, m msg.Message) error {
	conn, err := p.Conn(ctx, addr)
	if err != nil {
		return err
	}
	if err := conn.SendControl(ctx, m); err != nil {
		return err
	}
	if time.Since(conn.LastRead()) < livelyFor || conn.PingAndWait(ctx, signTimeout) {
		return nil
	}
	conn.Doubt()
	renewed, err := p.Conn(ctx, addr)
	if err != nil || renewed == conn {
		return err
	}
	return renewed.SendControl(ctx, m)
}

// checkQuiet asks every connection that is quiet for a sign of life, once one has come
// into doubt: what silences one often silences many, and each would otherwise cost the
// next request on it 0.3 s.
func (p *Pool) checkQuiet() {
	for _, conn := range p.quiet() {
		go func() {
			if !conn.PingAndWait(context.Background(), signTimeout) {
				conn.Doubt()
			}
		}()
	}
}

// quiet lists the connections to check, none where that was done just now.
func (p *Pool) quiet() []*wire.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.checkedAt) < checkInterval {
		return nil
	}
	p.checkedAt = now
	var out []*wire.Conn
	for _, l := range p.links {
		if conn := l.quiet(now); conn != nil {
			out = append(out, conn)
		}
	}
	return out
}

// quiet gives the connection where nothing has come on it for a while, else nil.
func (l *link) quiet(now time.Time) *wire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.usable() || l.conn.Suspect() || now.Sub(l.conn.LastRead()) < signTimeout {
		return nil
	}
	return l.conn
}

// usable says that there is a connection that has not ended. The caller holds the lock.
func (l *link) usable() bool { return l.conn != nil && l.conn.Err() == nil }

// renews says that the connection is in doubt and another is to be made now. The caller
// holds the lock.
func (l *link) renews(now time.Time) bool {
	if l.conn.HasReceived() && !l.conn.Suspect() {
		l.renewal = 0
	}
	if !l.conn.Suspect() || now.Before(l.renewAt) {
		return false
	}
	l.renewal = min(max(2*l.renewal, renewalMin), renewalMax)
	l.renewAt = now.Add(l.renewal)
	return true
}

// replace takes a new connection; the old one goes on for what is under way on it. The
// caller holds the lock.
func (l *link) replace(conn *wire.Conn) {
	if l.usable() {
		l.retired = append(l.retired, l.conn)
	}
	l.conn, l.backoff = conn, 0
	l.closeRetired()
}

// closeRetired closes the replaced connections on which nothing is under way any more.
// The caller holds the lock.
func (l *link) closeRetired() {
	var kept []*wire.Conn
	for _, c := range l.retired {
		switch {
		case c.Err() != nil:
		case c.Streams() == 0:
			c.Close()
		default:
			kept = append(kept, c)
		}
	}
	l.retired = kept
}
