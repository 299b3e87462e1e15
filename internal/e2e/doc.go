// Package e2e contains end-to-end tests with real processes on loopback addresses, real
// requests, and faults injected by signals and through the stand-ins.
package e2e
