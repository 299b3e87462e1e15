// Package e2e holds end-to-end tests: real processes on loopback addresses,
// real requests, and faults made with signals and the stand-ins' switches.
package e2e
