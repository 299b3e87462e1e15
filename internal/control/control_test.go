package control

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// awayStore is a platform that never answers.
type awayStore struct{ objects.Store }

func (awayStore) Get(context.Context, record.Key) (objects.Object, error) {
	return objects.Object{}, &objects.UnavailableError{Cause: context.DeadlineExceeded}
}

func (awayStore) Feeds() []objects.Feed { return []objects.Feed{"a"} }

func (awayStore) FeedOf(record.Kind) objects.Feed { return "a" }

// newOver makes a Control over a store, with no sockets.
func newOver(store objects.Store, directory func(*directory.Directory)) *Control {
	return New(Config{
		Host: "a", DC: "dc", Peer: "127.0.0.1:0", Incarnation: 1, MaxRetryInterval: 2 * time.Second,
		Member: member.DefaultConfig("a"), Replica: config.DefaultConfig(), WatchersPerDC: 1,
	}, Hooks{
		Directory:     directory,
		Instances:     noInstances,
		ShardMapsRead: func() {},
		LoadReport:    func(*msg.LoadReport) {},
	}, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func noInstances() []directory.Instance { return nil }

// newTestControl makes a Control that is stepped by hand.
func newTestControl(t *testing.T) (*Control, *[]*directory.Directory) {
	t.Helper()
	var seen []*directory.Directory
	c := newOver(awayStore{}, func(d *directory.Directory) { seen = append(seen, d) })
	assert.NilError(t, c.Listen())
	t.Cleanup(func() { _ = c.udp.Close() })
	return c, &seen
}

func serviceEntry(t *testing.T, name string, version int64) msg.Entry {
	t.Helper()
	value, err := record.Marshal(record.Key{Kind: record.KindService, Name: name},
		&record.Service{Office: "o", Preset: record.PresetQuick, Floor: record.Floor{Percent: 50}})
	assert.NilError(t, err)
	return msg.Entry{Kind: string(record.KindService), Name: name, Version: version, Value: value}
}

// A host that has every record by repair before the snapshot that proves them
// whole must start to serve all the same.
func TestWholeWithoutNewsIsNoticed(t *testing.T) {
	c, seen := newTestControl(t)
	peerState := msg.HostState{DC: "dc", Peer: "127.0.0.1:2", Incarnation: 1}
	value, err := peerState.MarshalMsg(nil)
	assert.NilError(t, err)
	from := &msg.Hello{Host: "b"}
	c.HandleControl(from, &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{{Kind: hostKind, Name: "b", Version: 1 << 20, Value: value}}})
	entry := serviceEntry(t, "plans", 7)
	c.HandleControl(from, &msg.Rumor{Set: msg.SetRecords, Entries: []msg.Entry{entry}})
	now := time.Now()
	c.tick(now)
	assert.Assert(t, len(*seen) > 0)
	assert.Assert(t, !(*seen)[len(*seen)-1].Complete)

	c.HandleControl(from, &msg.Snapshot{Set: msg.SetRecords, Entries: []msg.Entry{entry}, Last: true, Complete: true})
	c.tick(now.Add(tickInterval))
	assert.Assert(t, (*seen)[len(*seen)-1].Complete, "the set is whole, and the directory in force does not say so")
}

func TestRecordsOfHostsGoneForGoodAreRemoved(t *testing.T) {
	c, _ := newTestControl(t)
	value, err := record.Marshal(record.Key{Kind: record.KindHost, Name: "old"}, &record.Host{DC: "dc", Peer: "127.0.0.1:9"})
	assert.NilError(t, err)
	c.noteHostRecords(hostListings([]objects.Object{{Kind: record.KindHost, Name: "old", Version: 5, Value: value}}))
	now := time.Now()
	assert.Equal(t, len(c.goneHosts(now)), 0)
	assert.Equal(t, len(c.goneHosts(now.Add(janitorPatience/2))), 0)
	assert.DeepEqual(t, c.goneHosts(now.Add(janitorPatience)), map[string]int64{"old": 5})
	// A host that is known again is left alone, and counts from new.
	c.hosts["old"] = &directory.Host{Name: "old"}
	assert.Equal(t, len(c.goneHosts(now.Add(2*janitorPatience))), 0)
	delete(c.hosts, "old")
	assert.Equal(t, len(c.goneHosts(now.Add(2*janitorPatience))), 0)
}

// The record of a stopped request goes once it has been cleared of its ends: kept, it
// would stop the request again after a loss of all processes.
func TestTheRecordOfAClearedRequestIsRemoved(t *testing.T) {
	c, _ := newTestControl(t)
	now := time.Now()
	const print = crash.Fingerprint(7)
	c.hooks.Cleared = func(string, crash.Fingerprint) {}
	key := record.Key{Kind: record.KindCrasher, Name: print.String()}
	s := &record.Crasher{Request: "GET /status"}
	for _, id := range []string{"a", "b", "c"} {
		s.Crashes = append(s.Crashes, record.InstanceCrash{ID: id, Service: "desk", AtMS: now.UnixMilli()})
	}
	c.records.inForce[key] = &record.Record{Key: key, Version: 3, Spec: s}
	assert.Equal(t, len(c.forgottenCrashers(now)), 0)
	c.PublishClearance("a", print+1)
	assert.Equal(t, len(c.forgottenCrashers(now)), 0, "another request was cleared")
	c.PublishClearance("a", print)
	assert.DeepEqual(t, c.forgottenCrashers(now), map[record.Key]int64{key: 3})
}

// A host that starts while the platform is away knows nobody. A probe of an old
// peer is all it hears: it must call back who sent it, and once only.
func TestAHostThatKnowsNobodyCallsBackWhoProbesIt(t *testing.T) {
	c, _ := newTestControl(t)
	probe := &msg.Packet{Kind: msg.PacketPing, From: "b", FromAddr: "127.0.0.1:2", ProbedHost: "a"}
	c.noticeStranger(probe)
	now := time.Now()
	c.tick(now)
	c.tick(now.Add(tickInterval))
	called := c.outboxes.boxes["127.0.0.1:2"].waiting
	assert.Equal(t, len(called), 2)
	_, tellsOfItself := called[0].(*msg.Rumor)
	pull, asks := called[1].(*msg.Pull)
	assert.Assert(t, tellsOfItself && asks && pull.All && pull.Set == msg.SetHosts)

	c.hosts["c"] = &directory.Host{Name: "c"}
	c.noticeStranger(&msg.Packet{Kind: msg.PacketPing, From: "c", FromAddr: "127.0.0.1:3", ProbedHost: "a"})
	assert.Equal(t, c.contacts.Candidates(), 1)
}

// Of hosts that start at once only a few watch: those that come first among the
// records, until the hosts have heard of each other.
func TestAFleetThatStartsAsOneDoesNotWatchWithEveryHost(t *testing.T) {
	c, _ := newTestControl(t)
	for _, name := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
		value, err := record.Marshal(record.Key{Kind: record.KindHost, Name: name}, &record.Host{DC: "dc", Peer: "127.0.0.1:9"})
		assert.NilError(t, err)
		c.noteHostRecords(hostListings([]objects.Object{{Kind: record.KindHost, Name: name, Version: 5, Value: value}}))
	}
	assert.Assert(t, c.unmet() > 0, "pick another name for the host under test: it comes first")
	assert.Assert(t, !c.ranksAsWatcher())
	c.started = c.started.Add(-2 * meetingTime)
	assert.Assert(t, c.ranksAsWatcher())
}
