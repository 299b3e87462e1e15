package targetconn

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a panic in the handling of one response. It ends that exchange alone: the
// bytes of a target decide what the code that parses them does, and no lock is held while it
// runs.
type PanicError struct {
	// Value is the argument of the panic.
	Value any
	// Stack is the stack of the goroutine that panicked.
	Stack []byte
}

// Error implements the error interface.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// recoverPanic stores a panic of the calling function in err. It must be deferred.
func recoverPanic(err *error) {
	if v := recover(); v != nil {
		*err = &PanicError{Value: v, Stack: debug.Stack()}
	}
}
