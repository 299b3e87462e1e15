package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// headScanner finds the end of a request head in a buffer that grows. It accepts only the
// strict form, lines that end with CRLF, none of them folded: lenient forms are left to
// net/http, so that both always agree on where a request ends.
type headScanner struct {
	// lineStart is the start of the line being scanned, scanned the end of what contains no
	// line feed after it.
	lineStart, scanned int
}

// scan continues in b, which starts with the head, and returns the length of the head, or 0
// while it is incomplete. It returns false if the head is not in the strict form. The result
// of a complete head is returned again by the next call.
func (s *headScanner) scan(b []byte) (end int, strict bool) {
	for {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(b)
			return 0, true
		}
		line := b[s.lineStart : s.scanned+i]
		n := len(line)
		first := s.lineStart == 0
		switch {
		case n == 0 || line[n-1] != '\r':
			return 0, false
		case n == 1:
			return s.lineStart + len("\r\n"), !first
		case line[0] == ' ' || line[0] == '\t':
			return 0, false
		}
		s.scanned += i + 1
		s.lineStart = s.scanned
	}
}

// framing says how a request is delimited.
type framing int

const (
	// framingBodyless is a GET or HEAD request without a body: requests behind it may start.
	framingBodyless framing = iota
	// framingSized is a request whose body has a declared length, which may be 0.
	framingSized
	// framingOther is any other request. Only net/http knows where it ends.
	framingOther
)

// classify returns how the request with a complete strict head is delimited, and the length
// of its body.
func classify(head []byte) (framing, int64) {
	line, fields, _ := bytes.Cut(head, []byte("\r\n"))
	method, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(rest, []byte("/")) || !bytes.HasSuffix(rest, []byte(" HTTP/1.1")) {
		return framingOther, 0
	}
	kind := framingSized
	switch string(method) {
	case http.MethodGet, http.MethodHead:
		kind = framingBodyless
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return framingOther, 0
	}
	length := int64(-1)
	for len(fields) > 0 {
		line, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case isName(name, "Transfer-Encoding"), isName(name, "Upgrade"), isName(name, "Expect"):
			return framingOther, 0
		case isName(name, "Connection"):
			if !strings.EqualFold(string(bytes.TrimSpace(value)), "keep-alive") {
				return framingOther, 0
			}
		case isName(name, "Content-Length"):
			n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 62)
			if err != nil || length >= 0 {
				return framingOther, 0
			}
			kind, length = framingSized, int64(n)
		}
	}
	return kind, max(length, 0)
}

// isName reports whether a field name is the given one.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// parseHead parses the head of a request that may start ahead of its turn. It returns false
// for anything that net/http could reject.
func parseHead(head []byte) (*http.Request, bool) {
	if kind, _ := classify(head); kind != framingBodyless {
		return nil, false
	}
	for _, b := range head {
		if b < ' ' && b != '\t' && b != '\r' && b != '\n' || b >= 0x7f {
			return nil, false
		}
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil || r.Host == "" || !isAlphanumeric(r.Host, ".-_:[]") {
		return nil, false
	}
	for name := range r.Header {
		// ReadRequest takes more names than the server does.
		if !isAlphanumeric(name, ".-_") {
			return nil, false
		}
	}
	return r, true
}

// isAlphanumeric reports whether s consists of ASCII letters, digits and the extra characters.
func isAlphanumeric(s, extra string) bool {
	return strings.IndexFunc(s, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune(extra, c)
	}) < 0
}

// sameRequest reports whether two parsed requests have the same head.
func sameRequest(a, b *http.Request) bool {
	if a.Method != b.Method || a.RequestURI != b.RequestURI || a.Host != b.Host || len(a.Header) != len(b.Header) {
		return false
	}
	for name, values := range a.Header {
		if !slices.Equal(values, b.Header[name]) {
			return false
		}
	}
	return true
}
