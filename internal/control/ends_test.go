package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// What a peer sends as an end or a clearing is read or refused, whatever its bytes, and
// what is read names an end.
func FuzzEnds(f *testing.F) {
	m := msg.InstanceEnd{Service: "desk", SoftwareVersion: "1", AtMS: 1, Prints: []uint64{7}}
	whole, err := m.MarshalMsg(nil)
	assert.NilError(f, err)
	f.Add(endKind, "i@1", whole)
	f.Add(endKind, "", whole[:len(whole)/2])
	f.Add(clearedKind, "i@1/0000000000000007", []byte(nil))
	f.Add(clearedKind, "/", []byte{0xc1})
	f.Add(clearedKind, "no print", []byte(nil))
	f.Add("other", "x", []byte(nil))
	f.Fuzz(func(t *testing.T, kind, name string, value []byte) {
		book := crash.NewBook()
		now := time.Now()
		c := newOver(awayStore{}, func(*directory.Directory) {})
		c.hooks.Ended = func(e crash.End) {
			assert.Equal(t, e.ID, name)
			book.Add(now, e)
		}
		c.hooks.Cleared = func(end string, p crash.Print) {
			assert.Equal(t, end+printStart, name[:len(end)+1])
			book.Clear(now, end, p)
		}
		c.applyEnd(now, msg.Entry{Kind: kind, Name: name, Version: now.UnixMilli(), Value: value})
		for _, v := range book.Verdicts(now) {
			assert.Assert(t, !v.Everywhere(now), "one end stops nothing")
		}
	})
}
