package route

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/record"
)

func TestMatchPrefersOwnHostAndLongestPrefixBySegments(t *testing.T) {
	add := func(name, host, path string, methods ...string) *Route {
		return &Route{Name: name, Route: record.Route{Host: host, PathPrefix: path, Methods: methods}}
	}
	table := NewTable([]*Route{
		add("root", "", "/"), add("plans", "", "/plans"), add("deep", "", "/plans/shared/"),
		add("read", "desk.example", "/plans", "GET"), add("write", "desk.example", "/plans"),
	})
	for _, c := range []struct{ host, path, method, want string }{
		{"x", "/plans/shared/7", "GET", "deep"}, {"x", "/plans/7", "GET", "plans"}, {"x", "/plansx", "GET", "root"},
		{"x", "/", "GET", "root"}, {"desk.example", "/plans/shared/7", "GET", "read"},
		{"x", "/plans/shared", "GET", "plans"}, {"x", "/plans/shared/", "GET", "deep"}, {"x", "/plans/%73hared/7", "GET", "plans"},
		{"desk.example", "/plans", "POST", "write"}, {"desk.example", "/other", "GET", "root"}, {"", "/plans/", "GET", "plans"},
	} {
		r := table.Match(c.host, c.path, c.method)
		assert.Assert(t, r != nil, "%+v", c)
		assert.Equal(t, r.Name, c.want, "%+v", c)
	}
	assert.Assert(t, NewTable(nil).Match("x", "/a", "GET") == nil)
}
