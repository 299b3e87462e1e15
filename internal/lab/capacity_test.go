package lab

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

func generateParsedRecords(tb testing.TB) ([]msg.Entry, []*record.Record) {
	tb.Helper()
	entries, err := GenerateRecords(designRoutes, designTeams)
	assert.NilError(tb, err)
	var parsed []*record.Record
	for _, e := range entries {
		r, err := record.Parse(e.Value)
		assert.NilError(tb, err)
		parsed = append(parsed, r)
	}
	return entries, parsed
}

func BenchmarkRouteLookup25000(b *testing.B) {
	_, parsed := generateParsedRecords(b)
	var routes []*route.Route
	for _, r := range parsed {
		if spec, ok := r.Spec.(*record.Route); ok {
			routes = append(routes, &route.Route{Name: r.Name, Route: *spec})
		}
	}
	t := route.NewTable(routes)
	b.ReportAllocs()
	for b.Loop() {
		if t.Match("site-017.example", "/area-3/part-6/item/9", "GET") == nil {
			b.Fatal("no route")
		}
	}
}

func BenchmarkTeamLookup81000(b *testing.B) {
	_, parsed := generateParsedRecords(b)
	dir := directory.Build(directory.Compile(parsed, true), nil)
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("team-%05d", i*81)
	}
	for i := 0; b.Loop(); i++ {
		if dir.Teams[names[i%len(names)]] == nil {
			b.Fatal("no team")
		}
	}
}

// BenchmarkApplyOneChange measures applying a change of one record in the full set and
// rebuilding the directory.
func BenchmarkApplyOneChange(b *testing.B) {
	entries, parsed := generateParsedRecords(b)
	set := config.NewSet()
	for _, e := range entries {
		set.Apply(e)
	}
	hosts := GenerateHosts()
	version := int64(len(entries))
	for b.Loop() {
		version++
		e := entries[1000]
		e.Version = version
		set.Apply(e)
		r, err := record.Parse(e.Value)
		if err != nil {
			b.Fatal(err)
		}
		parsed[1000] = r
		directory.Build(directory.Compile(parsed, true), hosts)
	}
}

// BenchmarkStartFromPeer measures loading the full set from a peer, including encoding
// and decoding of the messages.
func BenchmarkStartFromPeer(b *testing.B) {
	entries, _ := generateParsedRecords(b)
	rng := rand.New(rand.NewPCG(1, 1))
	full := config.NewNode(config.DefaultConfig(), rng)
	full.LoadList(config.Peers{}, config.List{Entries: entries, Revision: int64(len(entries))}, nil)
	full.Take()
	peers := config.Peers{Local: []string{"full"}}
	sent := 0
	for b.Loop() {
		fresh := config.NewNode(config.DefaultConfig(), rng)
		fresh.Tick(time.Unix(1, 0), peers)
		full.Step(config.Peers{}, "fresh", &msg.Pull{Set: msg.SetRecords, All: true})
		out, _ := full.Take()
		sent = 0
		for _, o := range out {
			buf, err := o.Msg.MarshalMsg(nil)
			if err != nil {
				b.Fatal(err)
			}
			sent += len(buf)
			m, _ := msg.New(o.Msg.Kind())
			if _, err := m.UnmarshalMsg(buf); err != nil {
				b.Fatal(err)
			}
			fresh.Step(peers, "full", m)
		}
		if !fresh.Complete() {
			b.Fatal("the record set is incomplete")
		}
	}
	b.ReportMetric(float64(sent)/1e6, "MB")
}
