package peer

import (
	"context"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/wire"
)

const (
	// aliveWindow is the time after the last received frame during which a connection is
	// assumed to be alive. A message sent on a dead connection within this time is lost;
	// periodic repair restores the data.
	aliveWindow = 2 * time.Second
	// pingTimeout limits the wait for the response to a ping. It equals the time for which
	// a request waits for a frame before its path is excluded, twice frameTimeout of package
	// front.
	pingTimeout = 300 * time.Millisecond
	// replaceBackoffMin and replaceBackoffMax bound the time between two replacements of a
	// suspect connection. A frozen host does not respond on new connections either, so
	// replacing without back-off would flood it with connections.
	replaceBackoffMin = time.Second
	replaceBackoffMax = 30 * time.Second
	// quietCheckInterval is the minimum time between two checks of all quiet connections.
	quietCheckInterval = time.Second
)

// SendLossy sends a control message to a peer without checking that the connection is
// alive, so the message may be lost. Use it for messages that are soon superseded.
func (p *Pool) SendLossy(ctx context.Context, addr string, m msg.Message) error {
	conn, err := p.Conn(ctx, addr)
	if err != nil {
		return err
	}
	return conn.SendControl(ctx, m)
}

// SendControl sends a control message to a peer, or returns an error if the peer is
// currently unreachable. If nothing has been received on the connection for aliveWindow, it
// pings the peer. Without a response, it sends the message again on a new connection. The
// peer may therefore receive the message twice.
func (p *Pool) SendControl(ctx context.Context, addr string, m msg.Message) error {
	conn, err := p.Conn(ctx, addr)
	if err != nil {
		return err
	}
	if err := conn.SendControl(ctx, m); err != nil {
		return err
	}
	if time.Since(conn.LastRead()) < aliveWindow || conn.PingAndWait(ctx, pingTimeout) {
		return nil
	}
	conn.MarkSuspect()
	newConn, err := p.Conn(ctx, addr)
	if err != nil || newConn == conn {
		return err
	}
	return newConn.SendControl(ctx, m)
}

// pingQuietConns pings all quiet connections and marks those without a response as
// suspect. It runs when a connection becomes suspect, because a network fault often affects
// many connections at once, and each dead one would delay the next request on it by 0.3 s.
func (p *Pool) pingQuietConns() {
	for _, conn := range p.quietConns() {
		go func() {
			if !conn.PingAndWait(context.Background(), pingTimeout) {
				conn.MarkSuspect()
			}
		}()
	}
}

// quietConns returns the quiet connections (see link.quietConn), or none if the last check
// was less than quietCheckInterval ago.
func (p *Pool) quietConns() []*wire.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.lastQuietCheck) < quietCheckInterval {
		return nil
	}
	p.lastQuietCheck = now
	var out []*wire.Conn
	for _, l := range p.links {
		if conn := l.quietConn(now); conn != nil {
			out = append(out, conn)
		}
	}
	return out
}

// quietConn returns the connection if it is open, not suspect and nothing has been received
// on it for pingTimeout, else nil.
func (l *link) quietConn(now time.Time) *wire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.usable() || l.conn.Suspect() || now.Sub(l.conn.LastRead()) < pingTimeout {
		return nil
	}
	return l.conn
}

// usable reports whether the link has an open connection. The caller holds l.mu.
func (l *link) usable() bool { return l.conn != nil && l.conn.Err() == nil }

// beginReplacement reports whether the connection is suspect and due to be replaced. If so,
// it advances the back-off. The caller holds l.mu.
func (l *link) beginReplacement(now time.Time) bool {
	if l.conn.HasReceived() && !l.conn.Suspect() {
		l.replaceBackoff = 0
	}
	if !l.conn.Suspect() || now.Before(l.replaceAt) {
		return false
	}
	l.replaceBackoff = min(max(2*l.replaceBackoff, replaceBackoffMin), replaceBackoffMax)
	l.replaceAt = now.Add(l.replaceBackoff)
	return true
}

// replace sets a new connection. The old one stays open until its streams have ended. The
// caller holds l.mu.
func (l *link) replace(conn *wire.Conn) {
	if l.usable() {
		l.retired = append(l.retired, l.conn)
	}
	l.conn, l.backoff = conn, 0
	l.closeRetired()
}

// closeRetired closes the replaced connections that have no open streams. The caller holds
// l.mu.
func (l *link) closeRetired() {
	var kept []*wire.Conn
	for _, c := range l.retired {
		switch {
		case c.Err() != nil:
		case c.StreamCount() == 0:
			c.Close()
		default:
			kept = append(kept, c)
		}
	}
	l.retired = kept
}
