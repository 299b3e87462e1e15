package control

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestCompressedValuesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := bytes.Repeat([]byte(`{"name":"`+rapid.StringMatching(`[a-z]{1,20}`).Draw(t, "name")+`"}`), rapid.IntRange(1, 2000).Draw(t, "times"))
		decompressed, err := decompress(compress(value))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(decompressed, value))
		assert.Assert(t, len(compress(value)) <= max(len(value), compressMinBytes))
	})
}

func TestTruncatedCompressedValueIsAnError(t *testing.T) {
	compressed := compress(bytes.Repeat([]byte("{}"), compressMinBytes))
	_, err := decompress(compressed[:len(compressed)/2])
	assert.ErrorContains(t, err, "decompress")
}
