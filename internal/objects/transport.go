package objects

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// dialTimeout bounds one attempt to connect: a platform that is there takes a
// connection within milliseconds.
const dialTimeout = 2 * time.Second

// keepAlive finds a connection that has gone silent within about 3 s: a watch
// waits on one for long, and news of the platform must reach the fleet in time.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Transport makes calls to the platform and says what a missing answer means.
// Each dialect of the object API is a Store on top of it.
type Transport struct {
	// WatchWait is how long the platform is asked to hold a watch open.
	WatchWait time.Duration

	base *sling.Sling
	http *http.Client
	// pool holds the connections of http.
	pool *http.Transport
	// report is told of calls that are late or fail, nil for nobody.
	report func(LateCall)
}

// NewTransport makes a Transport for the object API at base, such as
// "http://127.0.0.1:7000". watchWait is how long a watch is held open: longer
// makes fewer calls; shorter bounds how long news is missed where the platform
// has dropped its history and leaves a waiting watch in the dark.
func NewTransport(base string, watchWait time.Duration) *Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		MaxConnsPerHost:     16,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Transport{WatchWait: watchWait, base: sling.New().Base(base), http: &http.Client{Transport: transport}, pool: transport}
}

// Dial makes one connection to the platform.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// SetDial replaces how connections are made, before the first call.
func (t *Transport) SetDial(dial Dial) { t.pool.DialContext = dial }

// Close drops idle connections.
func (t *Transport) Close() { t.http.CloseIdleConnections() }

// Observe sets who is told of calls that are late or fail, before the first call.
// It must not block.
func (t *Transport) Observe(report func(LateCall)) { t.report = report }

// Request starts the description of one call.
func (t *Transport) Request() *sling.Sling { return t.base.New() }

// Call makes one call and gives status and body. hold is how long the call asks the
// platform to wait for news, 0 for none. Transport failures, server errors and refusals
// over the rate become *UnavailableError.
func (t *Transport) Call(ctx context.Context, hold time.Duration, req *sling.Sling) (int, []byte, error) {
	r, err := req.Request()
	if err != nil {
		return 0, nil, errors.Wrap(err, "build platform request")
	}
	late := t.follow(r, hold)
	f := newFetch(t, r)
	answer, err := f.do(ctx, hold)
	if err == nil {
		err = refusal(answer.status)
	} else {
		err = &UnavailableError{Cause: err}
	}
	late.end(f.tries, err)
	return answer.status, answer.body, err
}

// refusal is the error of a status that says that the platform cannot serve the call.
func refusal(status int) error {
	if status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		return nil
	}
	refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	return &UnavailableError{Cause: errors.New("status " + strconv.Itoa(status)), Refused: refused}
}

// Decode reads the answer of a call that should have succeeded.
func Decode(status int, body []byte, into any) error {
	if status != http.StatusOK && status != http.StatusCreated {
		return errors.Errorf("platform refused the call: status %d: %s", status, clip(body))
	}
	return errors.Wrap(json.Unmarshal(body, into), "read the platform's answer")
}

// clipLength bounds how much of an answer an error shows, in bytes.
const clipLength = 200

func clip(b []byte) string {
	if len(b) > clipLength {
		b = b[:clipLength]
	}
	return string(b)
}
