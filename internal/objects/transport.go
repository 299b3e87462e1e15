package objects

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

const (
	// CallTimeout bounds every call but a list and a watch: a platform that
	// answers in milliseconds and has not in this time is taken for away.
	CallTimeout = 2 * time.Second
	// ListTimeout bounds one page of a list.
	ListTimeout = 5 * time.Second
	// WatchSlack is what a watch may take beyond the time it asks for: twice the
	// answer time of a platform that is slow. A platform that had dropped its history
	// held waiting watches for 2.7 s beyond that, and a configuration came into force
	// 4.2 s after its acknowledgement.
	WatchSlack = 400 * time.Millisecond
	// maxAnswer bounds one answer, in bytes: a list of the whole set.
	maxAnswer = 256 << 20
)

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
	dialer := &net.Dialer{Timeout: CallTimeout, KeepAliveConfig: keepAlive}
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

// Limit bounds one call.
type Limit struct {
	// Hold is how long the platform is asked to wait for news before it answers.
	Hold time.Duration
	// Answer is how long it may take beyond that.
	Answer time.Duration
}

// Request starts the description of one call.
func (t *Transport) Request() *sling.Sling { return t.base.New() }

// Call makes one call and gives status and body. Transport failures, server
// errors and refusals over the rate become *UnavailableError.
func (t *Transport) Call(ctx context.Context, limit Limit, req *sling.Sling) (int, []byte, error) {
	r, err := req.Request()
	if err != nil {
		return 0, nil, errors.Wrap(err, "build platform request")
	}
	late := t.follow(r, limit.Hold)
	status, body, err := t.call(ctx, limit, r)
	late.end(err)
	return status, body, err
}

func (t *Transport) call(ctx context.Context, limit Limit, r *http.Request) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Hold+limit.Answer)
	defer cancel()
	resp, err := t.http.Do(r.WithContext(ctx))
	if err != nil {
		// A connection that has failed once is not tried again: others of the
		// pool may have gone silent with it.
		t.http.CloseIdleConnections()
		return 0, nil, &UnavailableError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, nil, &UnavailableError{Cause: err}
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
		return 0, nil, &UnavailableError{Cause: errors.New("status " + strconv.Itoa(resp.StatusCode)), Refused: refused}
	}
	return resp.StatusCode, body, nil
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
