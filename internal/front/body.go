package front

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/membudget"
	"github.com/radishhoist/radishhoist/internal/wire"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

const (
	// firstBodyBytes is the size of the first buffer for a body, and bodyGrowthFactor by how
	// much the next one is larger. A buffer of the declared size would hold memory for callers
	// that declare much and send little.
	firstBodyBytes   = 16 << 10
	bodyGrowthFactor = 4
	// receiveBufferBytes is what the kernel may receive of a body while the instance does not
	// read it.
	receiveBufferBytes = 128 << 10
	// streamedBodyBytes is what a body that is too large to buffer holds on its way to the
	// guard: a full stream window, the chunk in progress and the kernel's buffer.
	streamedBodyBytes = wire.StreamWindowBytes + wire.ChunkSize + receiveBufferBytes
	// discardTimeout bounds the wait for the rest of a body that is not needed, and
	// maxDiscardBytes its length.
	discardTimeout  = 100 * time.Millisecond
	maxDiscardBytes = 256 << 10
)

// callerBody is a request body as it arrives.
type callerBody struct {
	conn *callerConn
	src  io.Reader
	// ended reports that the whole body was read.
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.conn.startWait(membudget.ForBody)
	n, err := b.src.Read(p)
	b.conn.endWait(n)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// readBody reads the body and buffers it if it is small enough.
func (f *Front) readBody(w http.ResponseWriter, req *request, limits record.Limits) *verdict.Error {
	r := req.http
	if limit := limits.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		return verdict.New(verdict.NotRun, verdict.ReasonHeaderTooLarge, "the request header is larger than "+strconv.Itoa(limit)+" bytes")
	}
	maxBody := f.limits.Load().MaxBodyBytes
	if limits.MaxBodyBytes > 0 {
		maxBody = limits.MaxBodyBytes
	}
	req.length = r.ContentLength
	if !hasBody(r) {
		req.length = 0
		return nil
	}
	if r.ContentLength > maxBody {
		return bodyTooLarge(maxBody)
	}
	// A caller that sends its body slowly is not waited for beyond its own deadline.
	_ = http.NewResponseController(w).SetReadDeadline(req.deadline)
	body := &callerBody{conn: connOf(r), src: http.MaxBytesReader(w, r.Body, maxBody)}
	whole, err := req.bufferBody(body, f.cfg.BufferBodyBytes)
	if err == nil && !whole && !req.hold(streamedBodyBytes) {
		err = errMemoryExhausted
	}
	if err != nil {
		return f.bodyFailure(body, err, maxBody)
	}
	if whole {
		req.length = int64(len(req.body))
		return nil
	}
	req.unbuffered = body
	if f.memory.uploads.Add(1) > autotunedUploads {
		body.conn.limitReceiveBuffer(receiveBufferBytes)
	}
	return nil
}

func hasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// bufferBody reads the body up to limit bytes, and one byte more if its length is not declared.
// It reports whether that is the whole body.
func (req *request) bufferBody(body *callerBody, limit int) (whole bool, err error) {
	size := int64(limit) + 1
	if req.length >= 0 {
		size = min(size, req.length)
	}
	for !body.ended.Load() {
		if len(req.body) == cap(req.body) {
			if int64(len(req.body)) == size {
				return req.length == size && size <= int64(limit), nil
			}
			if err := req.growBody(size); err != nil {
				return false, err
			}
		}
		n, err := body.Read(req.body[len(req.body):cap(req.body)])
		req.body = req.body[:len(req.body)+n]
		if err != nil && err != io.EOF {
			return false, err
		}
	}
	return true, nil
}

// growBody enlarges the buffer for the body, to size at most.
func (req *request) growBody(size int64) error {
	capacity := min(max(bodyGrowthFactor*int64(cap(req.body)), firstBodyBytes), size)
	if !req.hold(capacity - int64(cap(req.body))) {
		return errMemoryExhausted
	}
	grown := make([]byte, len(req.body), capacity)
	copy(grown, req.body)
	req.body = grown
	return nil
}

// bodyFailure returns the refusal of a request whose body was not read. No part of it has been
// sent to an instance.
func (f *Front) bodyFailure(body *callerBody, err error, maxBody int64) *verdict.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge(maxBody)
	case body.conn.wasEvicted():
		return bodyTimeout("this host needs the memory, and the request body does not arrive")
	case errors.Is(err, errMemoryExhausted):
		f.memory.refused.Inc()
		return memoryExhausted("this host has no memory left for the request body; retry on another host")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bodyTimeout("the request body did not arrive before the deadline")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "cannot read the request body: "+err.Error())
}

func bodyTooLarge(limit int64) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "the request body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

func bodyTimeout(detail string) *verdict.Error {
	return retryLater(verdict.ReasonBodyTimeout, detail, defaultRetryAfter)
}

// heldMemory is what a request holds of the memory for requests. Its attempts may run at the same
// time, and end after it.
type heldMemory struct {
	mu       sync.Mutex
	bytes    int64
	released bool
}

// hold lets the request hold n bytes more, and returns false if there is no room for them or if
// the request is over.
func (req *request) hold(n int64) bool {
	if n <= 0 {
		return true
	}
	req.held.mu.Lock()
	defer req.held.mu.Unlock()
	if req.held.released || !connOf(req.http).hold(n) {
		return false
	}
	req.held.bytes += n
	return true
}

// releaseMemory returns what a request holds; req may be nil.
func (f *Front) releaseMemory(req *request) {
	if req == nil {
		return
	}
	req.held.mu.Lock()
	connOf(req.http).release(req.held.bytes)
	req.held.bytes, req.held.released = 0, true
	req.held.mu.Unlock()
	if req.unbuffered != nil {
		f.memory.uploads.Add(-1)
	}
}

// uploading reports whether a body that is too large to buffer has not been read to its end.
func (req *request) uploading() bool {
	return req.unbuffered != nil && !req.unbuffered.ended.Load()
}

// discardBody prepares for a response to a request whose body may not have been read. The server
// would wait for the rest before it sends the response, and without a time limit.
func discardBody(w http.ResponseWriter, req *request) {
	r := req.http
	control := http.NewResponseController(w)
	if !hasBody(r) || req.unbuffered != nil && !req.uploading() {
		return
	}
	// What is left of an upload belongs to its attempt, and must not be read beside it. A
	// caller that expects to be asked for the body has not sent it.
	if req.unbuffered == nil && r.Header.Get("Expect") == "" && !connOf(r).wasEvicted() {
		_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
		if _, err := io.CopyN(io.Discard, r.Body, maxDiscardBytes); err == io.EOF {
			_ = control.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now())
	connOf(r).limitReceiveBuffer(refusedBufferBytes)
}

// bodyReader returns the body for one attempt, or false if the body was too large to
// buffer and has been sent already.
func (req *request) bodyReader() (io.Reader, bool) {
	if req.unbuffered == nil {
		return bytes.NewReader(req.body), true
	}
	if req.unbufferedUsed.Swap(true) {
		return nil, false
	}
	return io.MultiReader(bytes.NewReader(req.body), req.unbuffered), true
}

// canResend reports whether another attempt can send the body.
func (req *request) canResend() bool { return req.unbuffered == nil || !req.unbufferedUsed.Load() }
