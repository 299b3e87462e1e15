package front

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// request is a caller's request being served by the front.
type request struct {
	id         string
	arrived    time.Time
	deadline   time.Time
	route      *route.Route
	service    *directory.Service
	state      *serviceState
	idempotent bool
	// fairnessClass is the hash of the name of the team for which the request counts.
	fairnessClass uint32
	// team is the caller's team, or "". apiKeyRequired says that callers must send an API
	// key, and countedInRate that the request counts against the team's rate.
	team                          string
	apiKeyRequired, countedInRate bool
	// teamPriority overrides the route's priority; nil means no override.
	teamPriority   *int
	http           *http.Request
	idempotencyKey string

	// body is the buffered request body. If the body is too large to buffer, unbuffered is
	// the remainder, which only one attempt can send: the first to set unbufferedUsed.
	body           []byte
	unbuffered     *callerBody
	unbufferedUsed atomic.Bool
	length         int64
	held           heldMemory
	// nestedRetryChance and originIdle tell guards how likely the request is to be a call
	// made by a retried run, see the fields of the same names in msg.AdmissionHints.
	nestedRetryChance uint16
	originIdle        bool
	// fingerprint identifies the request when it is sent again.
	fingerprint crash.Fingerprint
	// summary describes the attempts, once the request is over.
	summary attemptSummary
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	req, fail := f.prepare(w, r)
	defer f.releaseMemory(req)
	if fail == nil {
		f.counts.requests.Inc()
		w.Header().Set(header.RequestID, req.id)
		fail = f.run(w, req)
	}
	if fail != nil {
		f.releaseRate(req, fail)
		f.writeFailure(w, req, r, fail)
		return
	}
	f.counts.answered.Inc()
	f.counts.duration.UpdateDuration(req.arrived)
}

func (f *Front) writeFailure(w http.ResponseWriter, req *request, r *http.Request, fail *verdict.Error) {
	if req == nil {
		req = &request{id: requestID(r), http: r}
	}
	w.Header().Set(header.Attempts, strconv.Itoa(req.summary.attempts))
	f.counts.countFailure(fail)
	f.guard.RecordFailedCall(time.Now())
	f.logFailure(req, fail)
	discardBody(w, req)
	setWriteDeadline(w)
	fail.Write(w, req.id)
}

// maxRequestIDBytes is the maximum length of a caller's request id.
const maxRequestIDBytes = 64

// requestID returns the caller's request id if it is valid, otherwise a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(header.RequestID)
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsAny(id, " \t\"\\") {
		id = uuid.NewString()
	}
	return id
}

// prepare finds the route and service, applies the limits, sets the deadline and reads the
// body.
func (f *Front) prepare(w http.ResponseWriter, r *http.Request) (*request, *verdict.Error) {
	if f.refusing.Load() {
		return nil, retryLater(verdict.ReasonDraining, "this host is shutting down; retry on another host", defaultRetryAfter)
	}
	if connOf(r).wasEvicted() {
		return nil, memoryExhausted("this host has too many requests; retry on another host")
	}
	dir := f.dir.Load()
	if !dir.Complete {
		return nil, retryLater(verdict.ReasonNotReady, "this host has not loaded its whole configuration yet", time.Second)
	}
	req := &request{id: requestID(r), arrived: time.Now(), http: r}
	req.nestedRetryChance, req.originIdle = f.guard.CallOrigin()
	if req.route = matchRoute(dir, r); req.route == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoRoute, "no route matches "+r.Method+" "+hostname(r)+r.URL.Path)
	}
	service := pickWeightedService(f.rng(), req.route.WeightedServices())
	var ok bool
	if req.service, ok = dir.Services[service]; !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoRoute,
			"route "+req.route.Name+" refers to service "+service+", which has no record")
	}
	req.state = f.services.get(req.service.Name)
	req.idempotent = req.route.IsIdempotent(r.Method)
	req.idempotencyKey = r.Header.Get(header.IdempotencyKey)
	req.deadline = req.arrived.Add(f.callerTimeout(r, req.route.Timeout()))
	if fail := identifyTeam(dir, req); fail != nil {
		return req, fail
	}
	req.countForRunningTeam(func() (uint32, bool) { return f.guard.RunningTeam(f.rng()) })
	if fail := f.admitTeam(dir, req); fail != nil {
		return req, fail
	}
	if fail := f.readBody(w, req, dir.Limits); fail != nil {
		return req, fail
	}
	// Use the route's host, not the caller's: for a route that matches every host, callers
	// send the name of whichever front they use.
	req.fingerprint = (&crash.Request{
		Method: r.Method, Host: req.route.Host, URI: rawRequestURI(r), Team: req.team, Body: req.body, Length: req.length,
	}).Fingerprint()
	return req, nil
}

// matchRoute returns the route of a request, or nil.
func matchRoute(dir *directory.Directory, r *http.Request) *route.Route {
	return dir.Routes.Match(strings.ToLower(hostname(r)), rawPath(r), r.Method)
}

// hostname is the request's host without a port.
func hostname(r *http.Request) string {
	if h, _, err := net.SplitHostPort(r.Host); err == nil {
		return h
	}
	return r.Host
}

// pickWeightedService picks one of the services of a route at random by weight.
func pickWeightedService(rng *rand.Rand, services []record.WeightedService) string {
	sum := 0
	for _, p := range services {
		sum += p.Weight
	}
	n := rng.IntN(max(sum, 1))
	for _, p := range services {
		if n -= p.Weight; n < 0 {
			return p.Service
		}
	}
	return services[0].Service
}

// rawPath is the path as received, without decoding. Paths that are equal only after
// decoding are different.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(rawRequestURI(r), "?")
	return path
}

// rawRequestURI is the request's path and query as received.
func rawRequestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func retryLater(reason verdict.Reason, detail string, wait time.Duration) *verdict.Error {
	e := verdict.New(verdict.NotRun, reason, detail)
	e.RetryAfterMS = max(wait.Milliseconds(), 1)
	return e
}

// callerTimeout returns the caller's timeout if it is valid and shorter than the route's,
// otherwise the route's.
func (f *Front) callerTimeout(r *http.Request, timeout time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(f.cfg.Dialect.Timeout), 10, 64)
	if err != nil || ms <= 0 || ms > timeout.Milliseconds() {
		return timeout
	}
	return time.Duration(ms) * time.Millisecond
}

// headerBytes is the approximate size of the request header as received: the request line
// and each field with its separators.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// run executes the request and writes the response to the caller, or returns why there is
// none.
func (f *Front) run(w http.ResponseWriter, req *request) *verdict.Error {
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	defer context.AfterFunc(f.lifetime, cancel)()
	resp, fail := f.dispatch(ctx, req)
	if fail != nil {
		return fail
	}
	f.logResponse(req, int(resp.head.Status))
	if retryableStatus(resp.head.Status) {
		// Call this before the response is written: the instance that made this call may
		// fail because of the response before writeTo returns.
		f.guard.RecordFailedCall(time.Now())
	}
	return resp.writeTo(w, req)
}
