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
	at      time.Time
	host    string
	request string
	name    string
	event   int
	// rest are the other fields, as JSON.
	rest map[string]json.RawMessage
}

func (a *app) traceCommand() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "show a request's way in order, from the logs of several hosts", ArgsUsage: "REQUEST [FILE...]",
		Description: "Reads the daemons' logs from files, or from standard input, and prints every line about one\n" +
			"request: what the front believed when it chose, what the guard decided, how it ended. Other text on\n" +
			"a line before its first brace is passed over. With no line found it says so and fails.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if len(args) == 0 {
				return &InvalidError{Text: "trace: write the request's id, as the caller has it in X-Request-Id"}
			}
			lines, err := a.readLogs(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.Errorf("no line about request %s: ordinary requests are logged one in 32; failures always, up to a rate that linesLeftOut tells", args[0])
			}
			a.showTrace(lines)
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

// readLog picks the lines about a request.
func readLog(r io.Reader, request string) ([]logLine, error) {
	var out []logLine
	err := event.ReadLines(r, func(text []byte) {
		if !bytes.Contains(text, []byte(request)) {
			return
		}
		if line, ok := parseLine(text); ok && belongs(line.request, request) {
			out = append(out, line)
		}
	})
	return out, err
}

// belongs says that a line is about the request, or about a call whose id its
// target has made from the request's by adding to it after a dot.
func belongs(id, request string) bool {
	return id == request || strings.HasPrefix(id, request+".")
}

func parseLine(text []byte) (logLine, bool) {
	var line logLine
	if err := json.Unmarshal(text, &line.rest); err != nil {
		return logLine{}, false
	}
	for field, into := range map[string]any{"time": &line.at, "host": &line.host, "request": &line.request, "msg": &line.name, "event": &line.event} {
		if raw, ok := line.rest[field]; ok {
			if err := json.Unmarshal(raw, into); err != nil {
				return logLine{}, false
			}
			delete(line.rest, field)
		}
	}
	for _, field := range []string{"dc", "level"} {
		delete(line.rest, field)
	}
	return line, true
}

// showTrace prints the lines in the order of their hosts' clocks, which may
// differ a little: the front's line comes last, as it is written at the end.
func (a *app) showTrace(lines []logLine) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, l := range lines {
		_, _ = fmt.Fprintf(a.out, "%s  %s  %d %s  %s\n", l.at.UTC().Format("15:04:05.000"), l.host, l.event, l.name, l.request)
		var fields []string
		for field := range l.rest {
			if field != "attempts" {
				fields = append(fields, field)
			}
		}
		slices.Sort(fields)
		for i, field := range fields {
			fields[i] = field + "=" + strings.Trim(string(l.rest[field]), `"`)
		}
		_, _ = fmt.Fprintf(a.out, "    %s\n", strings.Join(fields, "  "))
		a.showAttempts(l.rest["attempts"])
	}
}

// traceAttempt is one attempt as the front logs it.
type traceAttempt struct {
	Target, Host, Why, Outcome string
	Sick                       float64
	Running, Queued, Of        int
	AgeMS, MS                  int64
	LeftOut                    int `json:"leftOut"`
}

func (a *app) showAttempts(raw json.RawMessage) {
	var attempts []traceAttempt
	if len(raw) == 0 || json.Unmarshal(raw, &attempts) != nil {
		return
	}
	for i, t := range attempts {
		heard := fmt.Sprintf("heard of %d ms before", t.AgeMS)
		if t.AgeMS < 0 {
			heard = "not heard of before"
		}
		_, _ = fmt.Fprintf(a.out, "    attempt %d: %s on %s, %s of %d (%d left out); believed sick %.2f, %d running, %d queued, %s -> %s after %d ms\n",
			i+1, t.Target, t.Host, t.Why, t.Of, t.LeftOut, t.Sick, t.Running, t.Queued, heard, t.Outcome, t.MS)
	}
}
