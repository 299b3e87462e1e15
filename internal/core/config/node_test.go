package config

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
)

var start = time.Unix(1000, 0)

func newTestNode(seed uint64) *Node {
	return NewNode(DefaultConfig(), rand.New(rand.NewPCG(seed, seed)))
}

func entry(name string, version int64, size int) msg.Entry {
	return msg.Entry{Kind: "Configuration", Name: name, Version: version, Value: bytes.Repeat([]byte("x"), size)}
}

// deliver passes the messages of one node to another and returns the bytes of values
// sent.
func deliver(t *testing.T, from, to *Node, fromName, toName string) (values int) {
	t.Helper()
	out, _ := from.Take()
	for _, o := range out {
		if o.To != toName {
			continue
		}
		if r, ok := o.Msg.(*msg.Rumor); ok {
			for _, e := range r.Entries {
				values += len(e.Value)
			}
		}
		to.Step(Peers{}, fromName, o.Msg)
	}
	return values
}

// Pushed as a rumor, a large value would reach most hosts from several peers. Its version
// is announced instead, and the value is pulled once.
func TestLargeEntryIsAnnouncedAndPulledOnce(t *testing.T) {
	a, b, c := newTestNode(1), newTestNode(2), newTestNode(3)
	for _, n := range []*Node{a, b} {
		n.Publish(Peers{Local: []string{"c"}}, msg.SetRecords, []msg.Entry{entry("main", 7, 10*minAnnouncedBytes)})
	}
	assert.Equal(t, deliver(t, a, c, "a", "c"), 0)
	assert.Equal(t, deliver(t, b, c, "b", "c"), 0)
	out, _ := c.Take()
	assert.Equal(t, len(out), 1)
	a.Step(Peers{}, "c", out[0].Msg)
	assert.Equal(t, deliver(t, a, c, "a", "c"), 10*minAnnouncedBytes)
	e, ok := c.Set(msg.SetRecords).Get(Key{"Configuration", "main"})
	assert.Assert(t, ok && e.Version == 7)
}

// If the first pull is lost, a later announcement triggers another one.
func TestLostPullIsRetried(t *testing.T) {
	c := newTestNode(3)
	announced := &msg.Versions{Set: msg.SetRecords, Items: []msg.VersionItem{{Kind: "Configuration", Name: "main", Version: 7}}}
	c.Tick(start, Peers{})
	c.Step(Peers{}, "a", announced)
	c.Step(Peers{}, "b", announced)
	out, _ := c.Take()
	assert.Equal(t, len(out), 1)
	c.Tick(start.Add(pullTimeout), Peers{})
	c.Step(Peers{}, "b", announced)
	out, _ = c.Take()
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].To, "b")
}

func TestSmallEntryIsPushed(t *testing.T) {
	a, c := newTestNode(1), newTestNode(3)
	a.Publish(Peers{Local: []string{"c"}}, msg.SetRecords, []msg.Entry{entry("main", 7, 100)})
	assert.Equal(t, deliver(t, a, c, "a", "c"), 100)
}

// The digest of one host makes another with a different small set answer with a list of
// its versions, by which both sets become equal.
func TestSmallSetIsRepairedWithOneList(t *testing.T) {
	a, b := newTestNode(1), newTestNode(2)
	a.Publish(Peers{}, msg.SetHosts, []msg.Entry{entry("only-a", 1, 10), entry("both", 5, 10)})
	b.Publish(Peers{}, msg.SetHosts, []msg.Entry{entry("only-b", 1, 10), entry("both", 9, 10)})
	a.Take()
	b.Take()
	b.Step(Peers{}, "a", &msg.Digest{Set: msg.SetHosts, Root: a.Set(msg.SetHosts).Root()})
	for range 4 {
		deliver(t, b, a, "b", "a")
		deliver(t, a, b, "a", "b")
	}
	assert.Equal(t, a.Set(msg.SetHosts).Root(), b.Set(msg.SetHosts).Root())
	e, _ := a.Set(msg.SetHosts).Get(Key{"Configuration", "both"})
	assert.Equal(t, e.Version, int64(9))
}

// A list of some kinds leaves entries of other kinds unchanged; only a list of all kinds
// makes the set complete.
func TestPartialListKeepsOtherKinds(t *testing.T) {
	n := newTestNode(1)
	route := msg.Entry{Kind: "Route", Name: "r", Version: 3}
	n.LoadList(Peers{}, List{Entries: []msg.Entry{entry("main", 5, 10), route}, Revision: 5}, nil)
	assert.Assert(t, n.Complete())
	onlyRoutes := func(kind string) bool { return kind == "Route" }
	n.LoadList(Peers{}, List{Revision: 9}, onlyRoutes)
	set := n.Set(msg.SetRecords)
	deleted, _ := set.Get(Key{"Route", "r"})
	assert.Assert(t, deleted.Deleted && deleted.Version == 9)
	kept, _ := set.Get(Key{"Configuration", "main"})
	assert.Assert(t, !kept.Deleted)

	fresh := newTestNode(2)
	fresh.LoadList(Peers{}, List{Entries: []msg.Entry{route}, Revision: 5}, onlyRoutes)
	assert.Assert(t, !fresh.Complete())
}
