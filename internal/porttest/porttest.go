// Package porttest starts test servers on free loopback ports.
package porttest

import (
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// maxAttempts is the number of attempts to start before the test fails.
const maxAttempts = 5

// FreeAddress returns a loopback address, IP:port, with a free port. Another process may
// take the port before it is used.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// StartOnFreePorts calls start, which should listen on new addresses from FreeAddress at
// each call, and retries if another process has taken one of them in the meantime. Any
// other error fails the test.
func StartOnFreePorts(tb testing.TB, start func() error) {
	tb.Helper()
	for range maxAttempts {
		err := start()
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		assert.NilError(tb, err)
		return
	}
	tb.Fatalf("address already in use after %d attempts with free ports", maxAttempts)
}
