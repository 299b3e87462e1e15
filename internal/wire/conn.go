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
	// streamWindow is the flow-control window of each direction of a stream, in
	// body bytes.
	streamWindow = 256 << 10
	// recvQueueSize is the capacity of a stream's receive queue, in messages: a
	// window of minimum-cost chunks (see minCredit) plus control messages.
	recvQueueSize = 64
	// maxPending is the number of unsent bytes above which senders wait.
	maxPending = 512 << 10
	// maxStreams is the maximum number of open streams per connection.
	maxStreams = 4096
	// writeTimeout bounds one write; a write that exceeds it closes the connection.
	writeTimeout = 10 * time.Second
	// readBufferSize is the size of the buffered reader, in bytes.
	readBufferSize = 16 << 10
	// maxRetainedBuffer is the largest read or write buffer that a connection
	// keeps for reuse, in bytes.
	maxRetainedBuffer = 64 << 10
)

// ErrClosed is returned for operations on a closed connection or stream.
var ErrClosed = errors.New("connection closed")

// Conn is a connection that multiplexes streams.
type Conn struct {
	nc       net.Conn
	handlers Handlers
	done     chan struct{}
	once     sync.Once
	cause    atomic.Pointer[error]

	out writeQueue

	mu      sync.Mutex
	streams map[uint64]*connStream
	nextID  uint64
	opened  idWindow
	// createdAt is the origin of lastRead. It carries a monotonic clock reading,
	// so lastRead is not affected by changes of the wall clock.
	createdAt time.Time
	// lastRead is when the latest frame arrived, in nanoseconds since createdAt.
	lastRead    atomic.Int64
	liveness    liveness
	strayFrames atomic.Uint64
}

// Handlers are the callbacks of a connection.
type Handlers struct {
	// Accept is called in a new goroutine for every stream that the peer
	// opens. If nil, streams opened by the peer are dropped.
	Accept func(Stream)
	// Control is called in order, on the read loop, for every control message
	// (a message outside any stream). It must not block. If nil, control
	// messages are dropped.
	Control func(msg.Message)
	// OnSuspect is called when the connection becomes suspect; may be nil.
	OnSuspect func()
}

// controlStream is the stream ID of control messages.
const controlStream = 0

// NewConn wraps nc and starts its read loop. Writes happen on the goroutines of
// the senders.
func NewConn(nc net.Conn, h Handlers) *Conn {
	c := &Conn{
		nc:        nc,
		handlers:  h,
		done:      make(chan struct{}),
		streams:   make(map[uint64]*connStream),
		createdAt: time.Now(),
	}
	go c.readLoop()
	return c
}

// Open creates a stream to the peer. The peer sees it with its first message.
func (c *Conn) Open() (Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return nil, c.Err()
	}
	if len(c.streams) >= maxStreams {
		return nil, errors.Errorf("connection has reached the limit of %d open streams", maxStreams)
	}
	c.nextID++
	s := newConnStream(c, c.nextID)
	c.streams[s.id] = s
	return s, nil
}

// SendControl writes a message outside any stream, or queues it if another sender
// is writing.
func (c *Conn) SendControl(ctx context.Context, m msg.Message) error {
	return c.send(ctx, controlStream, m)
}

// Ping sends a ping without waiting. The peer's answer shows in LastRead.
func (c *Conn) Ping() { go c.sendControlBounded(&msg.Ping{}) }

// sendControlBounded sends a control message and gives up after writeTimeout. Call
// it in a new goroutine: the read loop must not block on writes.
func (c *Conn) sendControlBounded(m msg.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_ = c.SendControl(ctx, m)
}

// Close closes the connection and every stream on it.
func (c *Conn) Close() { c.fail(ErrClosed) }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns the error that ended the connection, or nil while it is open.
func (c *Conn) Err() error {
	if p := c.cause.Load(); p != nil {
		return *p
	}
	return nil
}

// LastRead returns when the latest frame arrived from the peer, or when the
// connection was created if none has.
func (c *Conn) LastRead() time.Time { return c.createdAt.Add(time.Duration(c.lastRead.Load())) }

// StrayFrames returns the number of frames dropped because their stream was not open.
func (c *Conn) StrayFrames() uint64 { return c.strayFrames.Load() }

// Streams returns the number of open streams.
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
	r := bufio.NewReaderSize(c.nc, readBufferSize)
	var scratch []byte
	for {
		stream, m, buf, err := ReadFrame(r, scratch)
		if err != nil {
			c.fail(errors.Wrap(err, "read"))
			return
		}
		scratch = buf
		if cap(scratch) > maxRetainedBuffer {
			scratch = nil
		}
		c.lastRead.Store(int64(time.Since(c.createdAt)))
		c.liveness.frameReceived()
		if err := c.dispatch(stream, m); err != nil {
			c.fail(err)
			return
		}
	}
}

// dispatch routes a message to its stream, which it opens if this is a valid first
// message. Messages for unknown streams are dropped and counted.
func (c *Conn) dispatch(id uint64, m msg.Message) error {
	if id == controlStream {
		if m.Kind() == msg.KindPing {
			go c.sendControlBounded(&msg.Pong{})
			return nil
		}
		if c.handlers.Control != nil {
			c.handlers.Control(m)
		}
		return nil
	}
	c.mu.Lock()
	s, ok := c.streams[id]
	if !ok && c.handlers.Accept != nil && opensStream(m.Kind()) && c.opened.addIfNew(id) {
		if len(c.streams) >= maxStreams {
			c.mu.Unlock()
			return errors.Errorf("peer exceeded the limit of %d open streams", maxStreams)
		}
		s = newConnStream(c, id)
		c.streams[id] = s
		go c.handlers.Accept(s)
		ok = true
	}
	c.mu.Unlock()
	if !ok {
		c.strayFrames.Add(1)
		return nil
	}
	return s.deliver(m)
}

// opensStream reports whether a message of kind k may be the first of a stream.
func opensStream(k msg.Kind) bool {
	switch k {
	case msg.KindReserve, msg.KindRun, msg.KindKeyClaim, msg.KindKeyResult, msg.KindLeaseRequest, msg.KindHandover:
		return true
	default:
		return false
	}
}

func (c *Conn) removeStream(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}
