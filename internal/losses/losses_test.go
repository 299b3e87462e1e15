package losses

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const logs = `starting
  0.1 h1 {"time":"2026-05-01T10:00:00.5Z","event":306,"request":"b1","instance":"i2","status":500,"excusedByCall":true}
{"time":"2026-05-01T10:00:00.6Z","event":206,"request":"a1","route":"browse","service":"s","status":500,"repeatUnpaid":true,"attempts":[{"target":"i1","sick":0.93,"outcome":"status 500","ms":2}]}
{"time":"2026-05-01T10:00:00.7Z","event":206,"request":"a2","route":"browse","service":"s","status":500,"attempts":[{"target":"i1","sick":0.02,"outcome":"status 500","ms":2},{"target":"i2","sick":0.95,"outcome":"retry-budget not-run","ms":1},{"target":"i3","sick":0.2,"outcome":"status 500","ms":3}]}
{"time":"2026-05-01T10:00:00.7Z","event":206,"request":"b1","route":"book","service":"d","status":500,"attempts":[{"target":"i2","sick":0.02,"outcome":"status 500","ms":300}]}
{"time":"2026-05-01T10:00:00.8Z","event":206,"request":"b1.1","route":"check","service":"s","status":500,"attempts":[{"target":"i1","sick":0.02,"outcome":"status 500","ms":300}]}
{"time":"2026-05-01T10:00:07Z","event":200,"request":"b2","route":"book","service":"d","status":503,"reason":"queue-full","linesLeftOut":3}
{"time":"2026-05-01T10:00:07Z","event":200,"request":"b3","route":"book","service":"d","status":502,"reason":"cancelled"}
{"time":"2026-05-01T10:00:07Z","event":206,"request":"b4","route":"book","service":"d","status":504}
{"time":"2026-05-01T10:00:07Z","event":206,"request":"ok","route":"book","service":"d","status":200}
{"time":"2026-05-01T10:00:07Z","event":307,"request":"b2","instance":"i2","service":"d","reason":"deadline","waitedMS":4013}
{"time":"2026-05-01T10:00:07Z","event":307,"request":"b5","instance":"i2","service":"d","reason":"queue-full","waitedMS":0}
{"time":"2026-05-01T10:00:07Z","event":307,"request":"a1","instance":"i2","service":"s","reason":"retry-budget","waitedMS":0}
`

func TestLossesAreCountedByRouteCauseAndTime(t *testing.T) {
	c := NewCollector(5 * time.Second)
	assert.NilError(t, c.Read(strings.NewReader(logs)))
	r := c.Report()
	assert.Equal(t, r.Failed, 7)
	type row struct {
		route string
		cause Cause
		lost  int
		calls int
	}
	var rows []row
	for _, x := range r.Rows {
		assert.Assert(t, x.Example.Request != "")
		rows = append(rows, row{x.Route, x.Cause, x.Failed, x.Calls})
	}
	assert.Assert(t, len(rows) == 7)
	for _, want := range []row{
		{"browse", CauseUnhealthy, 1, 0}, {"browse", CauseSuspect, 1, 0}, {"book", CauseCallFailed, 1, 0}, {"check", CauseLateFailure, 1, 1},
		{"book", "ended here: queue-full", 1, 0}, {"book", CauseCancelled, 1, 0}, {"book", CauseTimeout, 1, 0},
	} {
		found := false
		for _, have := range rows {
			found = found || have == want
		}
		assert.Assert(t, found, "%v is not in %v", want, rows)
	}
	assert.Equal(t, len(r.Windows), 2)
	assert.Equal(t, r.Windows[0].Failed, 4)
	assert.Equal(t, r.Retries.Sent, 1)
	assert.Equal(t, r.Retries.OverBudget, 1)
	assert.Equal(t, r.Retries.Refused, 1)
	assert.Equal(t, r.Retries.Example.Request, "a1")
	assert.Equal(t, len(r.Waits), 1)
	assert.Equal(t, r.Waits[0].Longest, 4013*time.Millisecond)
	assert.Equal(t, r.LinesDropped, uint64(3))
	assert.Equal(t, r.Unreadable, 1)
}

func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Add(`{"event":206,"status":500,"attempts":[]}`)
	f.Fuzz(func(t *testing.T, text string) {
		c := NewCollector(time.Second)
		_ = c.Read(strings.NewReader(text))
		sum := 0
		for _, row := range c.Report().Rows {
			sum += row.Failed
		}
		assert.Equal(t, sum, c.Report().Failed)
	})
}
