package main

// The hosts expect programs that are linked against the system C library, which the linker
// omits from a program that does not use cgo.

import "C"
