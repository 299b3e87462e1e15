// Package port opens listening sockets. If a port is already in use, its errors say what to
// do.
package port

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Listen listens on a TCP address, IP:port. The purpose, for example "callers", is used in
// errors. If the address is in use, the error says how to find the process, and it matches
// syscall.EADDRINUSE with errors.Is.
func Listen(purpose, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, Explain(err, purpose, address)
}

// Explain wraps an error from opening a socket with the purpose and the address, and with
// a remedy if the address is in use. It returns nil if err is nil.
func Explain(err error, purpose, address string) error {
	if !errors.Is(err, syscall.EADDRINUSE) {
		return errors.Wrapf(err, "listen for %s on %s", purpose, address)
	}
	_, portNumber, _ := net.SplitHostPort(address)
	return errors.Wrapf(err, "listen for %s on %s: another process has this port; find it with `ss -lntup 'sport = :%s'` and stop it, or use another address",
		purpose, address, portNumber)
}
