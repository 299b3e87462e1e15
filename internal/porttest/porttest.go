// Package porttest starts servers of tests on loopback ports that are free.
package porttest

import (
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// maxTries bounds the tries to start on ports that nobody else takes.
const maxTries = 5

// Free gives a loopback address, IP:port, that nobody listens on. Another process may take
// it before it is used.
func Free(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Start calls start, which listens on addresses that Free gives it, again where another
// process has taken one of them meanwhile. Any other error ends the test.
func Start(tb testing.TB, start func() error) {
	tb.Helper()
	for range maxTries {
		err := start()
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		assert.NilError(tb, err)
		return
	}
	tb.Fatalf("no ports are free in %d tries", maxTries)
}
