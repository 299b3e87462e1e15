package lab

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against log lines that are lost or cut because a process wrote them in pieces.
func TestOutputIsSplitIntoLines(t *testing.T) {
	var lines []string
	w := &tailWriter{dst: io.Discard, onLine: func(line []byte) { lines = append(lines, string(line)) }}
	for _, piece := range []string{"a\nb", "c\n", "\nd"} {
		_, err := w.Write([]byte(piece))
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, lines, []string{"a", "bc", ""})
}
