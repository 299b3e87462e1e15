package verdict

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Header is the response header that carries the verdict of a failed request.
const Header = "Radishhoist-Verdict"

// ProblemType is the media type of a Problem, defined by RFC 9457.
const ProblemType = "application/problem+json"

// Problem is the RFC 9457 body of every error response that a front sends to a caller.
type Problem struct {
	// Type is "urn:radishhoist:" followed by the Reason, and Title the Reason alone.
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Verdict string `json:"verdict"`
	// RequestID is the request ID.
	RequestID string `json:"request"`
}

// Status returns the HTTP status code for the failure. Callers take 408, 429 and 503
// to mean that the request did not run, so only NotRun failures get these codes.
func (e *Error) Status() int {
	switch e.Reason {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonNoTeam:
		return http.StatusUnauthorized
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonKeyInProgress:
		return http.StatusConflict
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	}
	switch {
	case e.Verdict == NotRun && e.Reason == ReasonTeamLimit:
		return http.StatusTooManyRequests
	case e.Verdict == NotRun && e.Reason == ReasonBodyTimeout:
		return http.StatusRequestTimeout
	case e.Verdict == NotRun:
		return http.StatusServiceUnavailable
	case e.Reason == ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// Write sends the failure as an HTTP response: status code, verdict header,
// Retry-After rounded up to whole seconds, and a Problem body with the request ID.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set(Header, e.Verdict.String())
	h.Set("Cache-Control", "no-store")
	if e.Reason == ReasonNoTeam {
		h.Set("WWW-Authenticate", `Bearer realm="radishhoist"`)
	}
	if e.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt((e.RetryAfterMS+999)/1000, 10))
	}
	body, err := json.Marshal(Problem{
		Type:      "urn:radishhoist:" + string(e.Reason),
		Title:     string(e.Reason),
		Status:    e.Status(),
		Detail:    e.Detail,
		Verdict:   e.Verdict.String(),
		RequestID: requestID,
	})
	if err != nil {
		body = []byte(`{}`)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status())
	_, _ = w.Write(body)
}
