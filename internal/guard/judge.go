package guard

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/targetconn"
	"github.com/radishhoist/radishhoist/verdict"
)

// judge says what an answer's head tells of the instance, and whether it is an
// answer that a caller may get.
func judge(a *targetconn.Answer, m *msg.Run, d header.Dialect) (result, *verdict.Error) {
	switch {
	case a.Status == http.StatusMisdirectedRequest && d.ExpectedInstance != "":
		return result{shed: true}, verdict.New(verdict.NotRun, verdict.ReasonTargetShed, "another instance has the address")
	case d.NotRun != "" && a.Header.Get(d.NotRun) != "":
		return result{shed: true}, verdict.New(verdict.NotRun, verdict.ReasonTargetShed, "the target did not run the request")
	case promisesNotRun(a.Status) && !m.Idempotent:
		// The status would tell the caller that it may send the request again.
		return result{failed: true}, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetBroke, "the target refused without saying that it did not run the request")
	case a.Status/100 == 2 && d.TargetMarker != "" && a.Header.Get(d.TargetMarker) == "":
		return result{failed: true}, verdict.New(verdict.Ran, verdict.ReasonTargetBroke, "the answer lacks the target's mark")
	case unaskedEncoding(a.Header, m.Header):
		return result{failed: true}, verdict.New(verdict.Ran, verdict.ReasonTargetBroke, "the answer has an encoding that the caller did not ask for")
	}
	return judgeStatus(a.Status), nil
}

// promisesNotRun lists the statuses by which a caller knows that a request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// unaskedEncoding says that the body is encoded though the caller named no
// encoding.
func unaskedEncoding(answer http.Header, request []msg.Field) bool {
	if coding := answer.Get("Content-Encoding"); coding == "" || coding == "identity" {
		return false
	}
	for _, f := range request {
		if f.Name == "Accept-Encoding" && f.Value != "" && f.Value != "identity" {
			return false
		}
	}
	return true
}

// judgeStatus says what a status tells of the instance. A target that sheds
// load says so with 503 or 429, which is no fault.
func judgeStatus(status int) result {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return result{shed: true}
	case http.StatusGatewayTimeout:
		// The time was up. That it ran too long was seen before.
		return result{cut: true}
	case http.StatusInternalServerError, http.StatusBadGateway:
		return result{failed: true}
	default:
		return result{}
	}
}

// callFailure gives the verdict of a call without an answer. Only a request of
// which nothing went out is proved not to have run.
func callFailure(err error) *verdict.Error {
	var failed *targetconn.Error
	switch {
	case errors.As(err, &failed) && !failed.Sent:
		return verdict.New(verdict.NotRun, verdict.ReasonTargetDown, "nothing was sent: "+err.Error())
	case errors.As(err, &failed) && failed.Foreign:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerMismatch, "the target answered other requests only")
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetBroke, "the target broke the connection before it answered")
	}
}
