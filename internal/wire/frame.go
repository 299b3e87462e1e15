// Package wire implements the framed, multiplexed protocol between the
// system's processes.
//
// A connection carries a sequence of frames. A frame consists of a 4-byte
// big-endian length, an 8-byte big-endian stream ID, a 1-byte message kind and
// a msgpack body; the length covers everything after the length field. Many
// streams share one connection. Flow control is per stream, so a slow reader
// does not block other streams.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/radishhoist/radishhoist/internal/msg"

	"github.com/pkg/errors"
)

const (
	// ProtocolVersion is exchanged in Hello; peers with a different version are refused.
	ProtocolVersion = 4
	// MaxFrameSize is the maximum frame length in bytes, excluding the length
	// field. The largest message is a part of a record set, whose values are
	// at most 1 MB each.
	MaxFrameSize = 2 << 20
	// ChunkSize is the maximum payload of one Data message, in bytes.
	ChunkSize = 32 << 10
	// headerSize covers the length, stream ID and kind fields, in bytes.
	headerSize = 4 + 8 + 1
	// minPayloadSize covers the stream ID and kind fields, in bytes.
	minPayloadSize = 8 + 1
)

// AppendFrame appends m, encoded as one frame, to buf and returns the extended
// buffer. On error it returns buf with its original contents.
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
	if size > MaxFrameSize {
		return buf[:start], errors.Errorf("message of %d bytes exceeds the maximum frame size of %d bytes", size, MaxFrameSize)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// ReadFrame reads one frame. It reuses scratch if it is large enough; the
// returned buf is the scratch buffer for the next call. A frame that is too long,
// too short, malformed or of an unknown kind is an error, after which the
// connection must not be read further.
func ReadFrame(r io.Reader, scratch []byte) (stream uint64, m msg.Message, buf []byte, err error) {
	var lengthField [4]byte
	if _, err = io.ReadFull(r, lengthField[:]); err != nil {
		return 0, nil, scratch, err
	}
	size := binary.BigEndian.Uint32(lengthField[:])
	if size < minPayloadSize || size > MaxFrameSize {
		return 0, nil, scratch, errors.Errorf("frame length %d is out of range: want %d to %d bytes", size, minPayloadSize, MaxFrameSize)
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

// decodePayload decodes a frame without its length field.
func decodePayload(payload []byte) (uint64, msg.Message, error) {
	stream := binary.BigEndian.Uint64(payload)
	m, err := msg.New(msg.Kind(payload[8]))
	if err != nil {
		return stream, nil, err
	}
	trailing, err := m.UnmarshalMsg(payload[minPayloadSize:])
	if err != nil {
		return stream, nil, errors.Wrapf(err, "decode message of kind %d", payload[8])
	}
	if len(trailing) != 0 {
		return stream, nil, errors.Errorf("message of kind %d has %d trailing bytes", payload[8], len(trailing))
	}
	return stream, m, nil
}
