// Package route matches requests to routes. A Table is immutable; when the records change,
// a new one is created.
package route

import (
	"sort"
	"strings"

	"github.com/radishhoist/radishhoist/record"
)

// Route is one compiled route.
type Route struct {
	// Name and Version are those of the record.
	Name    string
	Version int64
	record.Route
}

// mountPoint is the host and path prefix of a route.
type mountPoint struct {
	host string
	path string
}

// Table finds the route of a request.
type Table struct {
	byMount map[mountPoint][]*Route
	count   int
}

// NewTable compiles routes. If several routes with the same host and path prefix match a
// request, those that list methods take precedence, then the first by name.
func NewTable(routes []*Route) *Table {
	t := &Table{byMount: make(map[mountPoint][]*Route, len(routes)), count: len(routes)}
	for _, r := range routes {
		p := mountPoint{host: strings.ToLower(r.Host), path: r.PathPrefix}
		t.byMount[p] = append(t.byMount[p], r)
	}
	for _, candidates := range t.byMount {
		sort.Slice(candidates, func(i, j int) bool { return takesPrecedence(candidates[i], candidates[j]) })
	}
	return t
}

// takesPrecedence reports whether a is tried before b at the same mount point.
func takesPrecedence(a, b *Route) bool {
	if (len(a.Methods) > 0) != (len(b.Methods) > 0) {
		return len(a.Methods) > 0
	}
	return a.Name < b.Name
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Match returns the matching route with the longest path prefix, by whole segments, or nil
// if none matches. Routes for the request's host are tried before routes without a host.
// host must be in lower case and without a port; path is the undecoded path as received.
func (t *Table) Match(host, path, method string) *Route {
	if r := t.matchHost(host, path, method); r != nil || host == "" {
		return r
	}
	return t.matchHost("", path, method)
}

// matchHost looks up each prefix of whole segments, with and without the trailing slash,
// from the longest to "/".
func (t *Table) matchHost(host, path, method string) *Route {
	for prefix := path; prefix != ""; prefix = parentPrefix(prefix) {
		for _, r := range t.byMount[mountPoint{host, prefix}] {
			if allowsMethod(r, method) {
				return r
			}
		}
	}
	return nil
}

// parentPrefix removes the trailing slash of a prefix or, if there is none, its last
// segment. The shortest prefix is "/", whose parent is "".
func parentPrefix(prefix string) string {
	last := strings.LastIndexByte(prefix, '/')
	switch {
	case last == len(prefix)-1:
		return prefix[:max(last, 0)]
	default:
		return prefix[:last+1]
	}
}

func allowsMethod(r *Route, method string) bool {
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return len(r.Methods) == 0
}
