// Package docscheck holds the tests that keep the documentation equal to the
// code.
package docscheck
