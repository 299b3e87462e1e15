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
	// StreamWindowBytes is the flow-control window of each direction of a stream, in
	// body bytes: what the receiver of a body holds at most while it is not read.
	StreamWindowBytes = 256 << 10
	// recvQueueMessages is the capacity of a stream's receive queue, in messages. Data
	// messages take up at most half of it (see minCreditBytes); the rest is for other
	// messages of the stream.
	recvQueueMessages = 64
	// maxPendingBytes is the size of the write queue, in bytes, above which senders wait.
	maxPendingBytes = 512 << 10
	// maxStreams is the maximum number of open streams per connection.
	maxStreams = 4096
	// writeTimeout is the time limit of one write. A write that exceeds it closes the
	// connection.
	writeTimeout    = 10 * time.Second
	readBufferBytes = 16 << 10
	// maxRetainedBufferBytes is the largest read or write buffer that a connection
	// keeps for reuse, in bytes.
	maxRetainedBufferBytes = 64 << 10
)

// ErrClosed is returned for operations on a closed connection or stream.
var ErrClosed = errors.New("connection closed")

// Conn is a connection that multiplexes streams.
type Conn struct {
	nc       net.Conn
	handlers Handlers
	// done is closed when the connection has ended, after cause was set.
	done      chan struct{}
	closeOnce sync.Once
	cause     atomic.Pointer[error]

	writes writeQueue

	mu      sync.Mutex
	streams map[uint64]*connStream
	// lastID is the ID of the latest stream that this end opened.
	lastID uint64
	// acceptedIDs holds the IDs of the streams that the peer opened.
	acceptedIDs idWindow
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
	// Control is called in order, on the read loop, for every control message (a
	// message outside any stream) except Ping. It must not block. If nil, control
	// messages are dropped.
	Control func(msg.Message)
	// OnSuspect is called when the connection becomes suspect; may be nil.
	OnSuspect func()
}

// controlStream is the stream ID of control messages.
const controlStream = 0

// NewConn starts the read loop of a connection on nc. Writes happen on the
// goroutines of the senders.
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

// Open creates a stream to the peer, which learns of it from the first message. Only
// one end of a connection may open streams, because both would assign the same IDs.
func (c *Conn) Open() (Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed() {
		return nil, c.Err()
	}
	if len(c.streams) >= maxStreams {
		return nil, errors.Errorf("connection has reached the limit of %d open streams", maxStreams)
	}
	c.lastID++
	s := newConnStream(c, c.lastID)
	c.streams[s.id] = s
	return s, nil
}

// SendControl writes a message outside any stream, or queues it if another sender
// is writing.
func (c *Conn) SendControl(ctx context.Context, m msg.Message) error {
	return c.send(ctx, controlStream, m)
}

// Ping sends a ping and does not wait for the answer, which updates LastRead.
func (c *Conn) Ping() { go c.sendControlBounded(&msg.Ping{}) }

// sendControlBounded sends a control message within writeTimeout or drops it. It is
// called in a new goroutine, because the read loop must not block on writes.
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

// StrayFrames returns the number of frames that were dropped because their stream was
// not open.
func (c *Conn) StrayFrames() uint64 { return c.strayFrames.Load() }

// StreamCount returns the number of open streams.
func (c *Conn) StreamCount() int {
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

// fail closes the connection; the first error becomes its cause.
func (c *Conn) fail(err error) {
	c.closeOnce.Do(func() {
		c.cause.Store(&err)
		close(c.done)
		_ = c.nc.Close()
	})
}

func (c *Conn) readLoop() {
	r := bufio.NewReaderSize(c.nc, readBufferBytes)
	var scratch []byte
	for {
		stream, m, buf, err := ReadFrame(r, scratch)
		if err != nil {
			c.fail(errors.Wrap(err, "read"))
			return
		}
		scratch = buf
		if cap(scratch) > maxRetainedBufferBytes {
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

// dispatch delivers a message to its stream. A valid first message of a new stream
// opens the stream. Messages of streams that are not open are dropped and counted.
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
	if !ok && c.handlers.Accept != nil && opensStream(m.Kind()) && c.acceptedIDs.addIfNew(id) {
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
