// Package docscheck contains tests that check the documentation against the code.
package docscheck
