package guard

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/targetconn"
	"github.com/radishhoist/radishhoist/verdict"
)

// classifyResponse classifies a response by its head: what it says about the instance,
// and whether the response may be passed to the caller.
func classifyResponse(resp *targetconn.Response, m *msg.Run, d header.Dialect) (result, *verdict.Error) {
	switch {
	case resp.Status == http.StatusMisdirectedRequest && d.ExpectedInstance != "":
		return result{shed: true}, verdict.New(verdict.NotRun, verdict.ReasonTargetShed, "the address belongs to another instance")
	case d.NotRun != "" && resp.Header.Get(d.NotRun) != "":
		return result{shed: true}, verdict.New(verdict.NotRun, verdict.ReasonTargetShed, "the target did not run the request")
	case impliesNotRun(resp.Status) && !m.Idempotent:
		// The status would tell the caller that the request may safely be sent
		// again.
		return result{failed: true}, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetBroke, "the target refused the request without stating that it was not run")
	case resp.Status/100 == 2 && d.TargetMarker != "" && resp.Header.Get(d.TargetMarker) == "":
		return result{failed: true}, verdict.New(verdict.Ran, verdict.ReasonTargetBroke, "the response lacks the required target marker header")
	case unrequestedEncoding(resp.Header, m.Header):
		return result{failed: true}, verdict.New(verdict.Ran, verdict.ReasonTargetBroke, "the response has a content encoding that the caller did not accept")
	}
	return classifyStatus(resp.Status), nil
}

// impliesNotRun reports whether a caller may conclude from the status that the
// request has not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// unrequestedEncoding reports whether the body is encoded although the caller
// accepted no encoding.
func unrequestedEncoding(response http.Header, request []msg.Field) bool {
	if coding := response.Get("Content-Encoding"); coding == "" || coding == "identity" {
		return false
	}
	for _, f := range request {
		if f.Name == "Accept-Encoding" && f.Value != "" && f.Value != "identity" {
			return false
		}
	}
	return true
}

// classifyStatus classifies a response by its status. A target that sheds load responds
// with 503 or 429, which is not a failure.
func classifyStatus(status int) result {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return result{shed: true}
	case http.StatusGatewayTimeout:
		// A 504, whoever produced it, is taken to mean that the deadline has passed.
		// tick counts the requests that exceed overdueAfter.
		return result{aborted: true}
	case http.StatusInternalServerError, http.StatusBadGateway:
		return result{failed: true}
	default:
		return result{}
	}
}

// callVerdict returns the verdict on a request that got no response. It is known not to
// have run only if nothing of it was sent.
func callVerdict(err error) *verdict.Error {
	var failed *targetconn.Error
	switch {
	case errors.As(err, &failed) && !failed.Sent:
		return verdict.New(verdict.NotRun, verdict.ReasonTargetDown, "nothing was sent: "+err.Error())
	case errors.Is(err, targetconn.ErrHeaderTooLarge):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetBroke, targetconn.ErrHeaderTooLarge.Error())
	case errors.Is(err, targetconn.ErrInvalidStatus):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetBroke, targetconn.ErrInvalidStatus.Error())
	case errors.As(err, &failed) && failed.Mismatched:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonResponseMismatch, "the target sent only responses to other requests")
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetBroke, "the connection to the target broke before it responded")
	}
}
