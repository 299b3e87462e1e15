package record

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSupersedes(t *testing.T) {
	label := func(s string) Spec { return &Configuration{Label: s} }
	epochs := func(all ...uint64) Spec {
		m := &ShardMap{}
		for _, e := range all {
			m.Shards = append(m.Shards, Shard{Epoch: e})
		}
		return m
	}
	for _, c := range []struct {
		content, other Spec
		want           bool
	}{
		{label("10"), label("9"), true},
		{label("9"), label("10"), false},
		{label("9"), label("9"), false},
		{label("10"), label("summer"), false},
		{label("summer"), label("9"), false},
		{label(""), label(""), false},
		{epochs(2, 3), epochs(2, 2), true},
		{epochs(2, 2), epochs(2, 2), false},
		{epochs(3, 1), epochs(2, 2), false},
		{epochs(3, 3), epochs(2), false},
		{&Service{}, &Service{}, false},
		{label("10"), &Service{}, false},
	} {
		assert.Equal(t, Supersedes(c.content, c.other), c.want, "%+v, %+v", c.content, c.other)
	}
}
