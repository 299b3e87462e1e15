package control

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// compressMinBytes is the minimum size of a record that is sent compressed. Complete
	// configurations compress to about a tenth of their size.
	compressMinBytes = 2 << 10
	// compressedPrefix is the first byte of a compressed value. An uncompressed record is
	// JSON and starts with a brace.
	compressedPrefix = 0
	// maxDecompressedBytes limits the size of a decompressed value.
	maxDecompressedBytes = 64 << 20
)

// compress compresses a record value for replication between hosts. It returns small values
// unchanged.
func compress(value []byte) []byte {
	if len(value) < compressMinBytes {
		return value
	}
	var out bytes.Buffer
	out.WriteByte(compressedPrefix)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic("control: " + err.Error())
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// decompress reverses compress.
func decompress(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != compressedPrefix {
		return value, nil
	}
	r := flate.NewReader(bytes.NewReader(value[1:]))
	out, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
	return out, errors.Wrap(err, "decompress record")
}
