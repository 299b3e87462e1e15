package front

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/record"
	"github.com/radishhoist/radishhoist/verdict"
)

// request is one caller's request on its way through the front.
type request struct {
	id         string
	arrived    time.Time
	deadline   time.Time
	route      *route.Route
	service    *directory.Service
	state      *serviceState
	idempotent bool
	class      uint32
	// team is the caller's team, "" for none; keyed says that keys are asked for, and
	// counted that the request counts against the team's rate.
	team           string
	keyed, counted bool
	// teamPriority goes before that of the route; nil leaves it to that.
	teamPriority *int
	http         *http.Request
	key          string

	// body is the buffered request body; rest is what follows where the body
	// is too large to keep, and can be sent only once: by the attempt that sets
	// restUsed first.
	body     []byte
	rest     io.Reader
	restUsed atomic.Bool
	length   int64
	// callPart and idle tell guards whether it may be a call of a repeated run,
	// see msg.Aim.
	callPart uint16
	idle     bool
	// print is what the request is known by when it comes again.
	print crash.Fingerprint
	// account is what came of the attempts, once the request is over.
	account account
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	req, fail := f.prepare(w, r)
	if fail == nil {
		f.counts.requests.Inc()
		w.Header().Set(header.RequestID, req.id)
		fail = f.run(w, req)
	}
	if fail != nil {
		f.uncount(req, fail)
		f.answerFailure(w, req, r, fail)
		return
	}
	f.counts.answered.Inc()
	f.counts.duration.UpdateDuration(req.arrived)
}

func (f *Front) answerFailure(w http.ResponseWriter, req *request, r *http.Request, fail *verdict.Error) {
	if req == nil {
		req = &request{id: requestID(r), http: r}
	}
	w.Header().Set(header.Attempts, strconv.Itoa(req.account.attempts))
	f.counts.failed(fail)
	f.guard.RecordFailedCall(time.Now())
	f.logFailure(req, fail)
	armWrite(w)
	fail.Write(w, req.id)
}

// maxRequestID bounds a caller's own request id, in bytes.
const maxRequestID = 64

// requestID takes the caller's id where it is a plain one, else makes one.
func requestID(r *http.Request) string {
	id := r.Header.Get(header.RequestID)
	if id == "" || len(id) > maxRequestID || strings.ContainsAny(id, " \t\"\\") {
		id = uuid.NewString()
	}
	return id
}

// prepare finds route, service, limits and deadline, and reads the body.
func (f *Front) prepare(w http.ResponseWriter, r *http.Request) (*request, *verdict.Error) {
	if f.refusing.Load() {
		return nil, retryLater(verdict.ReasonDraining, "this host is stopping; another takes the request", defaultRetryAfter)
	}
	view := f.view.Load()
	if !view.Whole {
		return nil, retryLater(verdict.ReasonNotReady, "this host does not have the whole configuration yet", time.Second)
	}
	req := &request{id: requestID(r), arrived: time.Now(), http: r}
	req.callPart, req.idle = f.guard.CallOrigin()
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	req.route = view.Routes.Match(strings.ToLower(host), rawPath(r), r.Method)
	if req.route == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoRoute, "no route matches "+r.Method+" "+host+r.URL.Path)
	}
	part := pickPart(f.rng(), req.route.Parts())
	var ok bool
	if req.service, ok = view.Services[part]; !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoRoute,
			"route "+req.route.Name+" leads to service "+part+", which has no record")
	}
	req.state = f.services.get(req.service.Name)
	req.idempotent = req.route.IsIdempotent(r.Method)
	req.key = r.Header.Get(header.IdempotencyKey)
	req.deadline = req.arrived.Add(f.callerTimeout(r, req.route.Timeout()))
	if fail := identify(view, req); fail != nil {
		return req, fail
	}
	if fail := f.limitTeam(view, req); fail != nil {
		return req, fail
	}
	if fail := f.readBody(w, req, view.Limits); fail != nil {
		return req, fail
	}
	// The route's host, not the caller's: where a route holds for every host, callers name
	// the front that they happen to use.
	req.print = (&crash.Request{
		Method: r.Method, Host: req.route.Host, URI: rawTarget(r), Team: req.team, Body: req.body, Length: req.length,
	}).Fingerprint()
	return req, nil
}

// pickPart draws one service of a route by weight.
func pickPart(rng *rand.Rand, parts []record.Part) string {
	sum := 0
	for _, p := range parts {
		sum += p.Weight
	}
	n := rng.IntN(max(sum, 1))
	for _, p := range parts {
		if n -= p.Weight; n < 0 {
			return p.Service
		}
	}
	return parts[0].Service
}

// rawPath is the path as it came: what looks alike only once it is decoded is
// another path.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(rawTarget(r), "?")
	return path
}

// rawTarget is the request's path and query as they came.
func rawTarget(r *http.Request) string {
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

// callerTimeout shortens the route's timeout to what the caller asks for.
func (f *Front) callerTimeout(r *http.Request, timeout time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(f.cfg.Dialect.Timeout), 10, 64)
	if err != nil || ms <= 0 || ms > timeout.Milliseconds() {
		return timeout
	}
	return time.Duration(ms) * time.Millisecond
}

// readBody keeps the body where it is small enough to be sent again.
func (f *Front) readBody(w http.ResponseWriter, req *request, limits record.Limits) *verdict.Error {
	r := req.http
	if bound := limits.MaxHeaderBytes; bound > 0 && headerBytes(r) > bound {
		return verdict.New(verdict.NotRun, verdict.ReasonHeaderTooLarge, "the request header is larger than "+strconv.Itoa(bound)+" bytes")
	}
	maxBody := f.limits.Load().MaxBodyBytes
	if limits.MaxBodyBytes > 0 {
		maxBody = limits.MaxBodyBytes
	}
	req.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		req.length = 0
		return nil
	}
	if r.ContentLength > maxBody {
		return tooLarge(maxBody)
	}
	// A caller that sends its body drop by drop is not waited for longer than
	// its own deadline.
	_ = http.NewResponseController(w).SetReadDeadline(req.deadline)
	reader := http.MaxBytesReader(w, r.Body, maxBody)
	kept, err := io.ReadAll(io.LimitReader(reader, int64(f.cfg.BufferBodyBytes)+1))
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return tooLarge(maxBody)
	}
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the request body could not be read: "+err.Error())
	}
	req.body = kept
	if len(kept) <= f.cfg.BufferBodyBytes {
		req.length = int64(len(kept))
		return nil
	}
	req.rest = reader
	return nil
}

func tooLarge(bound int64) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "the request body is larger than "+strconv.FormatInt(bound, 10)+" bytes")
}

// headerBytes is the size of a request's head as it came, near enough for a
// bound: the request line, and each header with its separators.
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

// bodyReader gives the body for one attempt; false where it was sent before
// and could not be kept.
func (req *request) bodyReader() (io.Reader, bool) {
	if req.rest == nil {
		return bytes.NewReader(req.body), true
	}
	if req.restUsed.Swap(true) {
		return nil, false
	}
	return io.MultiReader(bytes.NewReader(req.body), req.rest), true
}

// repeatable says that another attempt could send the body again.
func (req *request) repeatable() bool { return req.rest == nil || !req.restUsed.Load() }

// run answers the request or says why not.
func (f *Front) run(w http.ResponseWriter, req *request) *verdict.Error {
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	defer context.AfterFunc(f.life, cancel)()
	answer, fail := f.runKeyed(ctx, req)
	if fail != nil {
		return fail
	}
	f.logAnswer(req, int(answer.head.Status))
	if retriableStatus(answer.head.Status) {
		// Before the answer goes out: who gets it may pass it on at once.
		f.guard.RecordFailedCall(time.Now())
	}
	return answer.finish(w, req)
}
