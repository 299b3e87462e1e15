package main

// The hosts expect programs that are linked against the system C library. Without a use of
// cgo the linker would omit it.

import "C"
