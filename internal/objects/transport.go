package objects

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// dialTimeout limits one connection attempt. A reachable platform accepts a connection
// within milliseconds.
const dialTimeout = 2 * time.Second

// keepAlive detects a dead connection within about 3 s. A watch waits on its connection
// for a long time, and a change must reach the fleet in time even if the connection fails.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Transport makes HTTP calls to the platform and classifies their failures. The Store for
// each variant of the object API uses it.
type Transport struct {
	// WatchWait is the time for which the platform is asked to hold a watch open.
	WatchWait time.Duration
	// HistoryHeader is the response header with the number of times that the platform has
	// been restored from an earlier state, empty if the platform does not count them.
	HistoryHeader string

	base       *sling.Sling
	httpClient *http.Client
	// latestHistory is the latest history of a response.
	latestHistory atomic.Int64
	// httpTransport is the transport of httpClient and holds its connections.
	httpTransport *http.Transport
	// report is called for calls that are late or fail. It may be nil.
	report func(CallReport)
}

// NewTransport returns a Transport for the object API at base, such as
// "http://127.0.0.1:7000". watchWait is the time for which a watch is held open. A
// longer wait saves calls and normally delays nothing, because a change ends the watch at
// once. However, if the platform discards its history without ending the watches that wait
// on it, changes are missed until the wait ends.
func NewTransport(base string, watchWait time.Duration) *Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		MaxConnsPerHost:     16,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Transport{WatchWait: watchWait, base: sling.New().Base(base), httpClient: &http.Client{Transport: transport}, httpTransport: transport}
}

// Dial opens a connection to the platform.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// SetDial replaces the dial function. It must be called before the first call.
func (t *Transport) SetDial(dial Dial) { t.httpTransport.DialContext = dial }

// Close closes idle connections.
func (t *Transport) Close() { t.httpClient.CloseIdleConnections() }

// Observe sets the callback for calls that are late or fail. It must be called
// before the first call, and the callback must not block.
func (t *Transport) Observe(report func(CallReport)) { t.report = report }

// Request returns a request builder for one call.
func (t *Transport) Request() *sling.Sling { return t.base.New() }

// Response is the response to a call.
type Response struct {
	Status int
	Body   []byte
	// History is the value of Transport.HistoryHeader, 0 if there is none.
	History int64
}

// Call makes one call. hold is the time
// for which the call asks the platform to wait for changes, 0 for none. Transport failures,
// server errors and status 429 are returned as *UnavailableError.
func (t *Transport) Call(ctx context.Context, hold time.Duration, req *sling.Sling) (Response, error) {
	r, err := req.Request()
	if err != nil {
		return Response{}, errors.Wrap(err, "build platform request")
	}
	tracker := t.trackCall(r, hold)
	f := newFetch(t, r)
	resp, err := f.do(ctx, hold)
	if err == nil {
		t.observeHistory(resp.History)
		err = statusError(resp.Status)
	} else {
		err = &UnavailableError{Cause: err}
	}
	tracker.finish(f.attempts, err)
	return resp, err
}

// statusError returns the error for a status with which the platform reports that it
// cannot serve the call, or nil.
func statusError(status int) error {
	if status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		return nil
	}
	refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	return &UnavailableError{Cause: errors.New("status " + strconv.Itoa(status)), Refused: refused}
}

// Decode unmarshals the response to a call that is expected to have succeeded.
func (r Response) Decode(into any) error {
	if r.Status != http.StatusOK && r.Status != http.StatusCreated {
		return errors.Errorf("unexpected platform response: status %d: %s", r.Status, truncate(r.Body))
	}
	return r.DecodeBody(into)
}

// DecodeBody is Decode for any status.
func (r Response) DecodeBody(into any) error {
	return errors.Wrap(json.Unmarshal(r.Body, into), "decode platform response")
}

// maxErrorBody limits how much of a response body an error includes, in bytes.
const maxErrorBody = 200

func truncate(b []byte) string {
	if len(b) > maxErrorBody {
		b = b[:maxErrorBody]
	}
	return string(b)
}
