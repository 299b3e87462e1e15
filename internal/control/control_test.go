package control

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/member"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// unavailableStore is a platform that never responds.
type unavailableStore struct{ objects.Store }

func (unavailableStore) Get(context.Context, record.Key) (objects.Object, error) {
	return objects.Object{}, &objects.UnavailableError{Cause: context.DeadlineExceeded}
}

func (unavailableStore) Feeds() []objects.Feed { return []objects.Feed{"a"} }

func (unavailableStore) FeedOf(record.Kind) objects.Feed { return "a" }

// newControlWithStore creates a Control with a store and without sockets.
func newControlWithStore(store objects.Store, directory func(*directory.Directory)) *Control {
	return New(Config{
		Host: "a", DC: "dc", PeerAddr: "127.0.0.1:0", Incarnation: 1, MaxRetryInterval: 2 * time.Second,
		Member: member.DefaultConfig("a"), Replica: config.DefaultConfig(), WatchersPerDC: 1,
	}, Hooks{
		Directory:  directory,
		Instances:  noInstances,
		LoadReport: func(*msg.LoadReport) {},
		Crashed:    func(crash.Crash) {},
		Unblocked:  func(crash.Fingerprint) {},
	}, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func noInstances() []directory.Instance { return nil }

// newTestControl creates a Control that is not running, so that the test calls its methods,
// and returns the directories that it builds.
func newTestControl(t *testing.T) (*Control, *[]*directory.Directory) {
	t.Helper()
	var directories []*directory.Directory
	c := newControlWithStore(unavailableStore{}, func(d *directory.Directory) { directories = append(directories, d) })
	assert.NilError(t, c.Listen())
	t.Cleanup(func() { _ = c.udp.Close() })
	return c, &directories
}

func serviceEntry(t *testing.T, name string, version int64) msg.Entry {
	t.Helper()
	value, err := record.Marshal(record.Key{Kind: record.KindService, Name: name},
		&record.Service{Office: "o", Preset: record.PresetQuick, Floor: record.Floor{Percent: 50}})
	assert.NilError(t, err)
	return msg.Entry{Kind: string(record.KindService), Name: name, Version: version, Value: value}
}

// A host may receive all records by repair before the snapshot that shows that the set is
// complete. It must then start to serve traffic although the snapshot has no new entries.
func TestCompletenessWithoutNewEntriesIsNoticed(t *testing.T) {
	c, directories := newTestControl(t)
	peerState := msg.HostState{DC: "dc", PeerAddr: "127.0.0.1:2", Incarnation: 1}
	value, err := peerState.MarshalMsg(nil)
	assert.NilError(t, err)
	from := &msg.Hello{Host: "b"}
	c.HandleControl(from, &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{{Kind: hostKind, Name: "b", Version: 1 << 20, Value: value}}})
	entry := serviceEntry(t, "plans", 7)
	c.HandleControl(from, &msg.Rumor{Set: msg.SetRecords, Entries: []msg.Entry{entry}})
	now := time.Now()
	c.tick(now)
	assert.Assert(t, len(*directories) > 0)
	assert.Assert(t, !(*directories)[len(*directories)-1].Complete)

	c.HandleControl(from, &msg.Snapshot{Set: msg.SetRecords, Entries: []msg.Entry{entry}, Last: true, Complete: true})
	c.tick(now.Add(tickInterval))
	assert.Assert(t, (*directories)[len(*directories)-1].Complete, "the record set is complete, but the directory does not say so")
}

func TestStaleHostRecordsAreRemoved(t *testing.T) {
	c, _ := newTestControl(t)
	value, err := record.Marshal(record.Key{Kind: record.KindHost, Name: "old"}, &record.Host{DC: "dc", Peer: "127.0.0.1:9"})
	assert.NilError(t, err)
	c.addHostRecords(hostListings([]objects.Object{{Kind: record.KindHost, Name: "old", Version: 5, Value: value}}))
	now := time.Now()
	assert.Equal(t, len(c.staleHostRecords(now)), 0)
	assert.Equal(t, len(c.staleHostRecords(now.Add(unknownHostRetention/2))), 0)
	assert.DeepEqual(t, c.staleHostRecords(now.Add(unknownHostRetention)), map[string]int64{"old": 5})
	// A host that is known again keeps its record, and the retention starts anew.
	c.hosts["old"] = &directory.Host{Name: "old"}
	assert.Equal(t, len(c.staleHostRecords(now.Add(2*unknownHostRetention))), 0)
	delete(c.hosts, "old")
	assert.Equal(t, len(c.staleHostRecords(now.Add(2*unknownHostRetention))), 0)
}

// Guards against stale records that nobody removes while the platform turns away the host that does.
func TestSubstituteOfFirstHostRemovesRecords(t *testing.T) {
	c, _ := newTestControl(t)
	first := "b"
	for xxhash.Sum64String(first) > xxhash.Sum64String(c.cfg.Host) {
		first += "b"
	}
	state := msg.HostState{DC: "dc", PeerAddr: "127.0.0.1:2", Incarnation: 1}
	value, err := state.MarshalMsg(nil)
	assert.NilError(t, err)
	c.HandleControl(&msg.Hello{Host: first}, &msg.Rumor{Set: msg.SetHosts, Entries: []msg.Entry{{Kind: hostKind, Name: first, Version: 1 << 20, Value: value}}})
	assert.Assert(t, !c.removesRecords())
	c.handleWatchRequest(&msg.WatchRequest{From: first, ID: 1, ShortWait: true})
	assert.Assert(t, c.removesRecords())
}

// The record of a blocked request must be removed once the request has been cleared of enough
// crashes. Otherwise, it would block the request again after a loss of all processes.
func TestRecordOfClearedRequestIsRemoved(t *testing.T) {
	c, _ := newTestControl(t)
	now := time.Now()
	const fingerprint = crash.Fingerprint(7)
	c.hooks.Cleared = func(string, crash.Fingerprint) {}
	key := record.Key{Kind: record.KindCrasher, Name: fingerprint.String()}
	crasher := &record.Crasher{Request: "GET /status"}
	for _, id := range []string{"a", "b", "c"} {
		crasher.Crashes = append(crasher.Crashes, record.InstanceCrash{ID: id, Service: "desk", AtMS: now.UnixMilli()})
	}
	c.records.active[key] = &record.Record{Key: key, Version: 3, Spec: crasher}
	assert.Equal(t, len(c.staleCrasherRecords(now)), 0)
	c.PublishClearance("a", fingerprint+1)
	assert.Equal(t, len(c.staleCrasherRecords(now)), 0, "another request was cleared")
	c.PublishClearance("a", fingerprint)
	assert.DeepEqual(t, c.staleCrasherRecords(now), map[record.Key]int64{key: 3})
}

// A host that starts while the platform is unavailable knows no other host and only receives
// probes from hosts that knew its earlier process. It must call the sender, but only once.
func TestHostWithoutPeersCallsItsProber(t *testing.T) {
	c, _ := newTestControl(t)
	probe := &msg.MemberPacket{Kind: msg.PacketPing, From: "b", FromAddr: "127.0.0.1:2", ProbedHost: "a"}
	c.addUnknownSender(probe)
	now := time.Now()
	c.tick(now)
	c.tick(now.Add(tickInterval))
	queued := c.outboxes.byAddr["127.0.0.1:2"].queued
	assert.Equal(t, len(queued), 3)
	_, announces := queued[0].(*msg.Rumor)
	pull, isPull := queued[1].(*msg.Pull)
	assert.Assert(t, announces && isPull && pull.All && pull.Set == msg.SetHosts)
	pull, isPull = queued[2].(*msg.Pull)
	assert.Assert(t, isPull && pull.All && pull.Set == msg.SetRecords)

	c.hosts["c"] = &directory.Host{Name: "c"}
	c.addUnknownSender(&msg.MemberPacket{Kind: msg.PacketPing, From: "c", FromAddr: "127.0.0.1:3", ProbedHost: "a"})
	assert.Equal(t, c.contacts.CandidateCount(), 1)
}

// When many hosts start at the same time, only those that rank first among the Host records
// may watch the platform until the hosts have discovered each other.
func TestFewHostsWatchWhenFleetStartsTogether(t *testing.T) {
	c, _ := newTestControl(t)
	for _, name := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
		value, err := record.Marshal(record.Key{Kind: record.KindHost, Name: name}, &record.Host{DC: "dc", Peer: "127.0.0.1:9"})
		assert.NilError(t, err)
		c.addHostRecords(hostListings([]objects.Object{{Kind: record.KindHost, Name: name, Version: 5, Value: value}}))
	}
	assert.Assert(t, c.unknownBefore() > 0, "the host under test ranks first; pick another name")
	assert.Assert(t, !c.shouldWatch())
	c.started = c.started.Add(-2 * discoveryTime)
	assert.Assert(t, c.shouldWatch())
}
