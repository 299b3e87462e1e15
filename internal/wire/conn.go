package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"

	"github.com/pkg/errors"
)

const (
	// streamWindow is how many body bytes one direction of a stream may have
	// under way, in bytes.
	streamWindow = 256 << 10
	// inboxSize bounds the messages a stream holds unread: a window of the
	// smallest useful chunks plus control messages.
	inboxSize = 64
	// maxPending bounds the bytes a connection holds unsent; senders wait
	// beyond it.
	maxPending = 512 << 10
	// maxStreams bounds the streams one connection may have open.
	maxStreams = 4096
	// writeTimeout bounds one write to the peer, after which it counts as cut.
	writeTimeout = 10 * time.Second
	// readBuffer is the buffered input, in bytes.
	readBuffer = 16 << 10
	// keepScratch is the largest read buffer a connection keeps, in bytes.
	keepScratch = 64 << 10
)

// ErrClosed says the connection or stream is closed.
var ErrClosed = errors.New("link closed")

// Conn is one connection with many streams.
type Conn struct {
	nc       net.Conn
	handlers Handlers
	done     chan struct{}
	once     sync.Once
	cause    atomic.Pointer[error]

	out outgoing

	mu      sync.Mutex
	streams map[uint64]*connStream
	nextID  uint64
	seen    idWindow
	// born is when the connection was made; lastRead counts from it, so that a
	// jump of the time of day does not touch it.
	born time.Time
	// lastRead is when the newest frame came, in nanoseconds since born.
	lastRead atomic.Int64
	signs    signs
	strays   atomic.Uint64
}

// Handlers take what the peer starts.
type Handlers struct {
	// Accept is called in a goroutine of its own for every stream that the
	// peer opens; nil refuses them.
	Accept func(Stream)
	// Control is called by the reader, in order, for every message that
	// belongs to no stream; it must not block. nil drops them.
	Control func(msg.Message)
	// Doubted is called when the connection comes into doubt; nil for nobody.
	Doubted func()
}

// controlStream is the stream number of messages that belong to no stream.
const controlStream = 0

// NewConn starts the reader of a connection. Senders write themselves.
func NewConn(nc net.Conn, h Handlers) *Conn {
	c := &Conn{
		nc:       nc,
		handlers: h,
		done:     make(chan struct{}),
		streams:  make(map[uint64]*connStream),
		born:     time.Now(),
	}
	go c.readLoop()
	return c
}

// Open starts a new stream towards the peer.
func (c *Conn) Open() (Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return nil, c.Err()
	}
	if len(c.streams) >= maxStreams {
		return nil, errors.Errorf("connection has its bound of %d streams", maxStreams)
	}
	c.nextID++
	s := newConnStream(c, c.nextID)
	c.streams[s.id] = s
	return s, nil
}

// SendControl queues a message that belongs to no stream.
func (c *Conn) SendControl(ctx context.Context, m msg.Message) error {
	return c.send(ctx, controlStream, m)
}

// Ping asks the peer for a sign of life, which shows in LastRead.
func (c *Conn) Ping() { go c.answerControl(&msg.Ping{}) }

// answerControl sends a small message in a goroutine of its own, because the
// reader must never wait for the writer.
func (c *Conn) answerControl(m msg.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_ = c.SendControl(ctx, m)
}

// Close ends the connection and every stream on it.
func (c *Conn) Close() { c.fail(ErrClosed) }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err gives the cause of the end, nil while the connection lives.
func (c *Conn) Err() error {
	if p := c.cause.Load(); p != nil {
		return *p
	}
	return nil
}

// LastRead is when the newest frame came from the peer.
func (c *Conn) LastRead() time.Time { return c.born.Add(time.Duration(c.lastRead.Load())) }

// Strays counts frames for streams that are no longer open, which are dropped.
func (c *Conn) Strays() uint64 { return c.strays.Load() }

// Streams counts the open streams.
func (c *Conn) Streams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

func (c *Conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *Conn) fail(err error) {
	c.once.Do(func() {
		c.cause.Store(&err)
		close(c.done)
		_ = c.nc.Close()
	})
}

func (c *Conn) readLoop() {
	r := bufio.NewReaderSize(c.nc, readBuffer)
	var scratch []byte
	for {
		stream, m, buf, err := ReadFrame(r, scratch)
		if err != nil {
			c.fail(errors.Wrap(err, "read"))
			return
		}
		scratch = buf
		if cap(scratch) > keepScratch {
			scratch = nil
		}
		c.lastRead.Store(int64(time.Since(c.born)))
		c.signs.heard()
		if err := c.dispatch(stream, m); err != nil {
			c.fail(err)
			return
		}
	}
}

// dispatch hands a message to its stream, opening it where the peer may.
func (c *Conn) dispatch(id uint64, m msg.Message) error {
	if id == controlStream {
		if m.Kind() == msg.KindPing {
			go c.answerControl(&msg.Pong{})
			return nil
		}
		if c.handlers.Control != nil {
			c.handlers.Control(m)
		}
		return nil
	}
	c.mu.Lock()
	s, ok := c.streams[id]
	if !ok && c.handlers.Accept != nil && opens(m.Kind()) && c.seen.first(id) {
		if len(c.streams) >= maxStreams {
			c.mu.Unlock()
			return errors.Errorf("peer opened more than %d streams", maxStreams)
		}
		s = newConnStream(c, id)
		c.streams[id] = s
		go c.handlers.Accept(s)
		ok = true
	}
	c.mu.Unlock()
	if !ok {
		c.strays.Add(1)
		return nil
	}
	return s.deliver(m)
}

// opens says whether a message may be the first of a stream.
func opens(k msg.Kind) bool {
	switch k {
	case msg.KindReserve, msg.KindRun, msg.KindKeyClaim, msg.KindKeyDone, msg.KindPromise, msg.KindHandover:
		return true
	default:
		return false
	}
}

func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}
