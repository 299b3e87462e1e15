package cli

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `noise that is no JSON about r1
  12.5 host-2 {"time":"2026-05-01T10:00:00.5Z","level":"INFO","msg":"request ended at the instance","host":"h2","dc":"d","event":306,"request":"r1","instance":"i1","status":500,"sick":0.93}
{"time":"2026-05-01T10:00:00.6Z","level":"WARN","msg":"request answered","host":"h1","dc":"d","event":206,"request":"r1","service":"s","status":500,"attempts":[{"target":"i1","host":"h2","why":"least cost","sick":0.02,"running":1,"queued":0,"ageMS":140,"of":8,"leftOut":1,"outcome":"status 500","ms":3}]}
{"time":"2026-05-01T10:00:00.4Z","msg":"request answered","host":"h1","event":206,"request":"r12","status":200}
{"time":"2026-05-01T10:00:00.3Z","msg":"request failed","host":"h3","event":200,"request":"r1.7","reason":"queue-full"}
`

func trace(args ...string) (string, error) {
	var out bytes.Buffer
	err := New(strings.NewReader(logs), &out, nil).Run(context.Background(), append([]string{"radishhoist", "trace"}, args...))
	return out.String(), err
}

func TestTraceShowsPathOfOneRequest(t *testing.T) {
	out, err := trace("r1")
	assert.NilError(t, err)
	for _, want := range []string{
		"10:00:00.500  h2  306 request ended at the instance  r1", "instance=i1  sick=0.93  status=500",
		"attempt 1: i1 on h2, least cost among 8 targets (1 ejected); failure probability 0.02, 1 running, 0 queued, load report 140 ms old -> status 500 after 3 ms",
	} {
		assert.Assert(t, strings.Contains(out, want), out)
	}
	assert.Assert(t, strings.Index(out, "306") < strings.Index(out, "206"))
	assert.Assert(t, !strings.Contains(out, "r12"))
	assert.Assert(t, strings.Contains(out, "200 request failed  r1.7"), "a call made for the request is not shown")
}

func TestTraceReportsMissingInput(t *testing.T) {
	_, err := trace("r9")
	assert.ErrorContains(t, err, "no line about request r9")
	_, err = trace()
	assert.Equal(t, ExitCode(err), ExitInvalid)
	_, err = trace("r1", "/nowhere/at/all")
	assert.ErrorContains(t, err, "open log file")
}

func TestUnknownAdapterIsReported(t *testing.T) {
	var out bytes.Buffer
	err := New(strings.NewReader(""), &out, nil).Run(context.Background(), []string{"radishhoist", "--adapter", "other", "list"})
	assert.ErrorContains(t, err, `"other" is not an adapter; use one of [own]`)
}

func TestLossesNameRouteCauseAndExample(t *testing.T) {
	var out bytes.Buffer
	err := New(strings.NewReader(logs), &out, nil).Run(context.Background(), []string{"radishhoist", "losses"})
	assert.NilError(t, err)
	for _, want := range []string{"2 failed requests", "failed at an instance believed well", "ended here: queue-full", "r1.7", "10:00:00"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
	err = New(strings.NewReader(logs), &out, nil).Run(context.Background(), []string{"radishhoist", "losses", "--window", "0s"})
	assert.Equal(t, ExitCode(err), ExitInvalid)
}
