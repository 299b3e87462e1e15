// Package wire carries typed messages between the system's processes.
//
// A connection is a sequence of frames. A frame is a 4-byte big-endian length,
// an 8-byte big-endian stream number, a 1-byte message kind and a msgpack
// body; the length covers all that follows it. Many streams share one
// connection; each has its own credit, so that one slow reader holds up no
// other stream.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/radishhoist/radishhoist/internal/msg"

	"github.com/pkg/errors"
)

const (
	// Proto is the version of the frame protocol, checked in Hello.
	Proto = 4
	// MaxFrame bounds one frame, in bytes after the length field. The largest
	// message is a part of a record set: values are at most 1 MB each.
	MaxFrame = 2 << 20
	// ChunkSize bounds one Data message, in bytes.
	ChunkSize = 32 << 10
	// headerSize is the length, stream and kind fields.
	headerSize = 4 + 8 + 1
	// minPayload is the stream and kind fields.
	minPayload = 8 + 1
)

// AppendFrame appends the frame of one message to buf and returns it.
func AppendFrame(buf []byte, stream uint64, m msg.Message) ([]byte, error) {
	start := len(buf)
	var header [headerSize]byte
	binary.BigEndian.PutUint64(header[4:], stream)
	header[12] = byte(m.Kind())
	buf = append(buf, header[:]...)
	buf, err := m.MarshalMsg(buf)
	if err != nil {
		return buf[:start], errors.Wrap(err, "encode message")
	}
	size := len(buf) - start - 4
	if size > MaxFrame {
		return buf[:start], errors.Errorf("message of %d bytes is over the frame bound of %d", size, MaxFrame)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// ReadFrame reads one frame. scratch is reused where it is large enough; the
// returned slice is the buffer to pass next time. A frame that is too long,
// too short, of an unknown kind or malformed is an error, and the connection
// cannot be read further.
func ReadFrame(r io.Reader, scratch []byte) (stream uint64, m msg.Message, buf []byte, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, scratch, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < minPayload || size > MaxFrame {
		return 0, nil, scratch, errors.Errorf("frame of %d bytes: want %d to %d", size, minPayload, MaxFrame)
	}
	if cap(scratch) < int(size) {
		scratch = make([]byte, size)
	}
	payload := scratch[:size]
	if _, err = io.ReadFull(r, payload); err != nil {
		return 0, nil, scratch, err
	}
	stream, m, err = decodePayload(payload)
	return stream, m, scratch, err
}

// decodePayload decodes the part of a frame behind its length.
func decodePayload(payload []byte) (uint64, msg.Message, error) {
	stream := binary.BigEndian.Uint64(payload)
	m, err := msg.New(msg.Kind(payload[8]))
	if err != nil {
		return stream, nil, err
	}
	rest, err := m.UnmarshalMsg(payload[minPayload:])
	if err != nil {
		return stream, nil, errors.Wrapf(err, "decode message kind %d", payload[8])
	}
	if len(rest) != 0 {
		return stream, nil, errors.Errorf("message kind %d has %d bytes too many", payload[8], len(rest))
	}
	return stream, m, nil
}
