package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/core/header"
	"github.com/radishhoist/radishhoist/verdict"
)

// sendReport is the output of `send`.
type sendReport struct {
	Status      int     `json:"status"`
	Verdict     string  `json:"verdict,omitempty"`
	RetryAfter  string  `json:"retryAfter,omitempty"`
	Request     string  `json:"request"`
	Target      string  `json:"target,omitempty"`
	Attempts    string  `json:"attempts,omitempty"`
	ConnectMS   float64 `json:"connectMS"`
	FirstByteMS float64 `json:"firstByteMS"`
	TotalMS     float64 `json:"totalMS"`
	Bytes       int     `json:"bytes"`
	Body        string  `json:"body"`
}

// sendCommand returns the command `send`. It always uses the header names of package
// header, also if the adapter of --adapter has another name for the team header.
func (a *app) sendCommand() *cli.Command {
	return &cli.Command{
		Name: "send", Usage: "send one request as a caller would and show verdict, target and timings", ArgsUsage: "METHOD URL",
		Description: "The URL has the address on which a host listens for callers; --host sets the host name that routes match.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "the request's `HOST` header"},
			&cli.StringFlag{Name: "team", Usage: "send as `TEAM`"},
			&cli.StringFlag{Name: "key", Usage: "Idempotency-Key, so that a retry does not run twice"},
			&cli.StringFlag{Name: "data", Usage: "request `BODY`"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "time limit of the request"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return &InvalidError{"expected METHOD URL, for example: send GET http://10.0.0.5:8080/plans/7"}
			}
			r, err := a.send(ctx, cmd)
			if err != nil {
				return err
			}
			if asJSON(cmd) {
				return a.printJSON(r)
			}
			a.printSend(r)
			if r.Status >= http.StatusBadRequest {
				return errors.Errorf("the request failed: status %d %s", r.Status, r.Verdict)
			}
			return nil
		},
	}
}

func (a *app) send(ctx context.Context, cmd *cli.Command) (*sendReport, error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	rawURL := cmd.Args().Get(1)
	if _, err := url.ParseRequestURI(rawURL); err != nil {
		return nil, &InvalidError{"URL: " + err.Error()}
	}
	r := &sendReport{}
	start := time.Now()
	elapsedMS := func() float64 { return float64(time.Since(start).Microseconds()) / 1000 }
	trace := &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { r.ConnectMS = elapsedMS() },
		GotFirstResponseByte: func() { r.FirstByteMS = elapsedMS() },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, strings.ToUpper(cmd.Args().Get(0)), rawURL, bytes.NewReader([]byte(cmd.String("data"))))
	if err != nil {
		return nil, &InvalidError{err.Error()}
	}
	req.Host = cmd.String("host")
	setHeader(req, header.Team, cmd.String("team"))
	setHeader(req, header.IdempotencyKey, cmd.String("key"))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, errors.Wrap(err, "no response: it is unknown whether the request ran")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "response truncated: the request ran, but its response is incomplete")
	}
	r.Status, r.Verdict, r.RetryAfter = resp.StatusCode, resp.Header.Get(verdict.Header), resp.Header.Get("Retry-After")
	r.Request, r.Target, r.Attempts = resp.Header.Get(header.RequestID), resp.Header.Get(header.Target), resp.Header.Get(header.Attempts)
	r.TotalMS, r.Bytes, r.Body = elapsedMS(), len(body), truncate(body)
	return r, nil
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// maxShownBodyBytes is the number of bytes of a body that are printed.
const maxShownBodyBytes = 2000

func truncate(b []byte) string {
	if len(b) > maxShownBodyBytes {
		return string(b[:maxShownBodyBytes]) + "..."
	}
	return string(b)
}

func (a *app) printSend(r *sendReport) {
	v := r.Verdict
	if v == "" {
		v = verdict.Ran.String() + ", answered whole"
	}
	a.printLine("status    %d %s", r.Status, http.StatusText(r.Status))
	a.printLine("verdict   %s", v)
	if r.RetryAfter != "" {
		a.printLine("retry after %s s", r.RetryAfter)
	}
	a.printLine("target    %s after %s attempts", orDash(r.Target), orDash(r.Attempts))
	a.printLine("request   %s", orDash(r.Request))
	a.printLine("timings   connected %.1f ms, first byte %.1f ms, total %.1f ms", r.ConnectMS, r.FirstByteMS, r.TotalMS)
	fmt.Fprintf(a.out, "%s\n", r.Body)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
