package guard

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/targetconn"
	"github.com/radishhoist/radishhoist/verdict"
)

func TestResponsesPassedToCaller(t *testing.T) {
	d := header.Default()
	d.TargetMarker = "Target-Marker"
	marked := http.Header{"Target-Marker": {"x"}}
	for _, c := range []struct {
		name       string
		status     int
		header     http.Header
		idempotent bool
		accepted   []msg.Field
		want       *verdict.Error
		failed     bool
	}{
		{name: "success", status: 200, header: marked},
		{name: "success without the target marker", status: 200, header: http.Header{}, want: &verdict.Error{Verdict: verdict.Ran}, failed: true},
		{name: "failure without the target marker", status: 500, header: http.Header{}, failed: true},
		{name: "not found is not a failure", status: 404, header: marked},
		{name: "refused, marked as not run", status: 503, header: http.Header{d.NotRun: {"1"}}, want: &verdict.Error{Verdict: verdict.NotRun}},
		{name: "misdirected", status: 421, header: http.Header{}, want: &verdict.Error{Verdict: verdict.NotRun}},
		{name: "503 without the not-run header", status: 503, header: marked, want: &verdict.Error{Verdict: verdict.MayHaveRun}, failed: true},
		{name: "429 without the not-run header", status: 429, header: marked, want: &verdict.Error{Verdict: verdict.MayHaveRun}, failed: true},
		{name: "503 to an idempotent request", status: 503, header: marked, idempotent: true},
		{name: "encoded, not accepted", status: 200, header: http.Header{"Target-Marker": {"x"}, "Content-Encoding": {"gzip"}}, want: &verdict.Error{Verdict: verdict.Ran}, failed: true},
		{name: "encoded, accepted", status: 200, header: http.Header{"Target-Marker": {"x"}, "Content-Encoding": {"gzip"}}, accepted: []msg.Field{{Name: "Accept-Encoding", Value: "gzip"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			res, fail := classifyResponse(&targetconn.Response{Status: c.status, Header: c.header}, &msg.Run{Idempotent: c.idempotent, Header: c.accepted}, d)
			assert.Equal(t, res.failed, c.failed)
			assert.Equal(t, fail == nil, c.want == nil)
			if fail == nil {
				return
			}
			assert.Equal(t, fail.Verdict, c.want.Verdict)
			if fail.Verdict != verdict.NotRun {
				assert.Assert(t, fail.Status() != http.StatusServiceUnavailable && fail.Status() != http.StatusTooManyRequests)
			}
		})
	}
}

func TestOnlyUnsentRequestsHaveNotRun(t *testing.T) {
	cause := errors.New("x")
	assert.Equal(t, callVerdict(&targetconn.Error{Cause: cause}).Verdict, verdict.NotRun)
	assert.Equal(t, callVerdict(&targetconn.Error{Sent: true, Cause: cause}).Verdict, verdict.MayHaveRun)
	assert.Equal(t, callVerdict(&targetconn.Error{Sent: true, Mismatched: true, Cause: cause}).Reason, verdict.ReasonResponseMismatch)
	assert.Equal(t, callVerdict(cause).Verdict, verdict.MayHaveRun)
}
