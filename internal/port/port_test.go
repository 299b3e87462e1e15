package port

import (
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestPortInUseErrorNamesAddressAndRemedy(t *testing.T) {
	l, err := Listen("callers", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	_, err = Listen("callers", l.Addr().String())
	assert.ErrorContains(t, err, "listen for callers on "+l.Addr().String())
	assert.ErrorContains(t, err, "ss -lntup")
	assert.Assert(t, errors.Is(err, syscall.EADDRINUSE))
}
