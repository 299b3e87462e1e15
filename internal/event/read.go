package event

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxLineLength is the maximum length of a log line that ReadLines accepts, in bytes.
const maxLineLength = 4 << 20

// ReadLines calls handle with the JSON text of each log line, starting at its first
// brace, because log collectors may prepend a prefix. For a line without a brace, text
// is nil. text is valid only until handle returns.
func ReadLines(r io.Reader, handle func(text []byte)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineLength)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			handle(nil)
			continue
		}
		handle(line[start:])
	}
	return errors.Wrap(scanner.Err(), "read log")
}
