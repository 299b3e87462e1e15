package event

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxLine bounds one log line that is read, in bytes.
const maxLine = 4 << 20

// ReadLines gives take the JSON text of each line of a log, from its first brace on:
// what gathers logs may write before it. A line without a brace gives nil. The text
// is good until take returns.
func ReadLines(r io.Reader, take func(text []byte)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			take(nil)
			continue
		}
		take(line[start:])
	}
	return errors.Wrap(scanner.Err(), "read a log")
}
