package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/event"
)

// logLine is one line of a daemon's log.
type logLine struct {
	at          time.Time
	host        string
	request     string
	eventName   string
	eventNumber int
	// fields holds the other fields as JSON.
	fields map[string]json.RawMessage
}

func (a *app) traceCommand() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "show the path of one request through the fleet, from the logs of several hosts", ArgsUsage: "REQUEST [FILE...]",
		Description: "Reads the daemons' logs from files, or from standard input, and prints every line about one\n" +
			"request: what the front knew when it chose a target, what the guard decided and how the request ended.\n" +
			"Text before the first brace of a line is ignored. The command fails if no line is found.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if len(args) == 0 {
				return &InvalidError{Text: "trace: expected the request ID, from the X-Request-Id header"}
			}
			lines, err := a.readLogs(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.Errorf("no line about request %s: one in 32 ordinary requests is logged, and every failure up to a rate limit; linesLeftOut counts the lines above it", args[0])
			}
			a.printTrace(lines)
			return nil
		},
	}
}

func (a *app) readLogs(request string, files []string) ([]logLine, error) {
	var all []logLine
	err := a.readAll(files, func(r io.Reader) error {
		lines, err := readLog(r, request)
		all = append(all, lines...)
		return err
	})
	return all, err
}

// readLog returns the lines about a request.
func readLog(r io.Reader, request string) ([]logLine, error) {
	var out []logLine
	err := event.ReadLines(r, func(text []byte) {
		if !bytes.Contains(text, []byte(request)) {
			return
		}
		if line, ok := parseLogLine(text); ok && isRequestOrItsCall(line.request, request) {
			out = append(out, line)
		}
	})
	return out, err
}

// isRequestOrItsCall reports whether id is the request's ID or that of a call that an instance
// made for it: the instance appends a dot and a suffix to the request's ID.
func isRequestOrItsCall(id, request string) bool {
	return id == request || strings.HasPrefix(id, request+".")
}

func parseLogLine(text []byte) (logLine, bool) {
	var line logLine
	if err := json.Unmarshal(text, &line.fields); err != nil {
		return logLine{}, false
	}
	for field, into := range map[string]any{"time": &line.at, "host": &line.host, "request": &line.request, "msg": &line.eventName, "event": &line.eventNumber} {
		if raw, ok := line.fields[field]; ok {
			if err := json.Unmarshal(raw, into); err != nil {
				return logLine{}, false
			}
			delete(line.fields, field)
		}
	}
	for _, field := range []string{"dc", "level"} {
		delete(line.fields, field)
	}
	return line, true
}

// printTrace prints the lines in the order of the hosts' clocks, which may differ slightly. The
// front's line normally comes last, because it is written when the request has ended.
func (a *app) printTrace(lines []logLine) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, l := range lines {
		_, _ = fmt.Fprintf(a.out, "%s  %s  %d %s  %s\n", l.at.UTC().Format("15:04:05.000"), l.host, l.eventNumber, l.eventName, l.request)
		var fields []string
		for field := range l.fields {
			if field != "attempts" {
				fields = append(fields, field)
			}
		}
		slices.Sort(fields)
		for i, field := range fields {
			fields[i] = field + "=" + strings.Trim(string(l.fields[field]), `"`)
		}
		_, _ = fmt.Fprintf(a.out, "    %s\n", strings.Join(fields, "  "))
		a.printAttempts(l.fields["attempts"])
	}
}

// traceAttempt is one attempt in the log line of a front: what the front knew of the target
// when it selected it, and the outcome.
type traceAttempt struct {
	Target, Host, Why, Outcome string
	// FailureEstimate is the probability that the target was failing most requests.
	FailureEstimate float64 `json:"sick"`
	Running, Queued int
	// AgeMS is the age of the load report that the front had of the target, -1 for none,
	// and MS the duration of the attempt.
	AgeMS, MS int64
	// Usable and Ejected are the numbers of usable and ejected targets.
	Usable  int `json:"of"`
	Ejected int `json:"leftOut"`
}

func (a *app) printAttempts(raw json.RawMessage) {
	var attempts []traceAttempt
	if len(raw) == 0 || json.Unmarshal(raw, &attempts) != nil {
		return
	}
	for i, t := range attempts {
		age := fmt.Sprintf("load report %d ms old", t.AgeMS)
		if t.AgeMS < 0 {
			age = "no load report received"
		}
		_, _ = fmt.Fprintf(a.out, "    attempt %d: %s on %s, %s among %d targets (%d ejected); failure probability %.2f, %d running, %d queued, %s -> %s after %d ms\n",
			i+1, t.Target, t.Host, t.Why, t.Usable, t.Ejected, t.FailureEstimate, t.Running, t.Queued, age, t.Outcome, t.MS)
	}
}
