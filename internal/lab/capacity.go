package lab

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/mesh"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// The size that the system is designed for.
const (
	designHosts      = 1600
	designInstances  = 13000
	designServices   = 340
	designRoutes     = 25000
	designTeams      = 81000
	instancesPerHost = 8
)

// Capacity measures how resource use grows with the size of the fleet and of the record
// set. docs/CAPACITY.md extrapolates from the results.
func Capacity(ctx context.Context, out io.Writer, bin string, daemons []int) error {
	fmt.Fprintf(out, "## Protocols, core state machines in one process, virtual time\n\n")
	fmt.Fprintf(out, "| hosts | data centres | idle messages/s per host | idle bytes/s per host | CPU per host, %% of a core | propagation time to all hosts | bytes per change, fleet |\n|---|---|---|---|---|---|---|\n")
	for _, hosts := range []int{50, 200, 800} {
		printMeshRow(out, hosts)
	}
	fmt.Fprintf(out, "\n## Records in one process\n\n")
	fmt.Fprintf(out, "| routes | teams | JSON, MB | memory, MB | compile, ms | directory with %d instances, ms | route lookup, ns |\n|---|---|---|---|---|---|---|\n", designInstances)
	for _, n := range []int{1000, 5000, 25000} {
		if err := printRecordRow(out, n, n*designTeams/designRoutes); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "\n## Real daemons, idle, one target each\n\n| daemons | CPU per daemon, %% of a core | resident memory, MB | control bytes/s sent per daemon |\n|---|---|---|---|\n")
	for _, n := range daemons {
		if err := printDaemonRow(ctx, out, bin, n); err != nil {
			return err
		}
	}
	return nil
}

// printMeshRow prints the cost of membership and replication with the given number of
// hosts.
func printMeshRow(out io.Writer, hosts int) {
	dcs := min(max(hosts/145, 2), 11)
	m := mesh.New(mesh.Config{Hosts: hosts, DCs: dcs, Seed: 1, Instances: instancesPerHost, Watchers: 2})
	m.StartAll()
	m.Run(5 * time.Second)
	sent := func() (messages, bytes int) {
		for _, h := range m.Hosts {
			messages += h.Sent.Messages
			bytes += h.Sent.Bytes
		}
		return messages, bytes
	}
	const idle = 20 * time.Second
	m0, b0 := sent()
	cpu0 := cpuTime()
	m.Run(idle)
	m1, b1 := sent()
	perHost := float64(hosts) * idle.Seconds()
	cpu := 100 * (cpuTime() - cpu0).Seconds() / perHost

	const changes = 5
	var slowest time.Duration
	for i := range changes {
		slowest = max(slowest, propagationTime(m, fmt.Sprintf("r%d", i)))
	}
	m.Run(10 * time.Second)
	_, b2 := sent()
	elapsed := slowest.Seconds()*changes + 10
	changeBytes := float64(b2-b1) - float64(b1-b0)/idle.Seconds()*elapsed
	fmt.Fprintf(out, "| %d | %d | %.1f | %.0f | %.3f | %s | %.0f |\n", hosts, dcs,
		float64(m1-m0)/perHost, float64(b1-b0)/perHost, cpu, slowest, max(changeBytes/changes, 0))
}

// propagationTime writes one record and returns the virtual time until every host has it,
// or about a minute if that takes longer.
func propagationTime(m *mesh.Mesh, name string) time.Duration {
	start := m.Now
	m.Platform.Put(name, false, 300)
	for m.Now.Sub(start) < time.Minute {
		m.Run(mesh.Step)
		received := 0
		for _, h := range m.Hosts {
			if _, ok := h.Replica.Set(msg.SetRecords).Get(config.Key{Kind: "Route", Name: name}); ok {
				received++
			}
		}
		if received == len(m.Hosts) {
			break
		}
	}
	return m.Now.Sub(start)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// GenerateRecords returns a record set with the given number of routes and teams, encoded
// as on the platform.
func GenerateRecords(routes, teams int) ([]msg.Entry, error) {
	var out []msg.Entry
	add := func(key record.Key, spec record.Spec) error {
		value, err := record.Marshal(key, spec)
		out = append(out, msg.Entry{Kind: string(key.Kind), Name: key.Name, Version: int64(len(out) + 1), Value: value})
		return err
	}
	for i := range designServices {
		s := &record.Service{Office: fmt.Sprintf("office-%02d", i%40), Preset: record.PresetCareful, Floor: record.Floor{Percent: 70}}
		if err := add(record.Key{Kind: record.KindService, Name: fmt.Sprintf("service-%03d", i)}, s); err != nil {
			return nil, err
		}
	}
	for i := range routes {
		r := &record.Route{
			Host: fmt.Sprintf("site-%03d.example", i%400), PathPrefix: fmt.Sprintf("/area-%d/part-%d", i/400, i%7),
			Service: fmt.Sprintf("service-%03d", i%designServices), TimeoutMS: 2000,
		}
		if err := add(record.Key{Kind: record.KindRoute, Name: fmt.Sprintf("route-%05d", i)}, r); err != nil {
			return nil, err
		}
	}
	for i := range teams {
		t := &record.Team{Office: fmt.Sprintf("office-%02d", i%40), RatePerSecond: 50}
		if err := add(record.Key{Kind: record.KindTeam, Name: fmt.Sprintf("team-%05d", i)}, t); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// GenerateHosts returns the hosts of the design size with their instances.
func GenerateHosts() []*directory.Host {
	var out []*directory.Host
	for i := range designHosts {
		h := &directory.Host{Name: fmt.Sprintf("host-%04d", i), DC: fmt.Sprintf("dc-%02d", i%11), PeerAddr: "10.0.0.1:7300", Alive: true}
		for k := range instancesPerHost {
			h.Instances = append(h.Instances, directory.Instance{
				Name: fmt.Sprintf("host-%04d-%d", i, k), Service: fmt.Sprintf("service-%03d", (i*instancesPerHost+k)%designServices), Slots: 6, MaxConns: 350,
			})
		}
		out = append(out, h)
	}
	return out
}

func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc) / (1 << 20)
}

// printRecordRow prints the cost of a record set in one process.
func printRecordRow(out io.Writer, routes, teams int) error {
	before := heapMB()
	entries, err := GenerateRecords(routes, teams)
	if err != nil {
		return err
	}
	jsonBytes := 0
	set := config.NewSet()
	var parsed []*record.Record
	for _, e := range entries {
		jsonBytes += len(e.Value)
		set.Apply(e)
		r, err := record.Parse(e.Value)
		if err != nil {
			return err
		}
		r.Version = e.Version
		parsed = append(parsed, r)
	}
	start := time.Now()
	compiled := directory.Compile(parsed, true)
	compile := time.Since(start)
	hosts := GenerateHosts()
	start = time.Now()
	dir := directory.Build(compiled, hosts)
	build := time.Since(start)
	entries = nil
	memory := heapMB() - before
	lookup := lookupTime(dir.Routes, routes)
	fmt.Fprintf(out, "| %d | %d | %.1f | %.0f | %.1f | %.1f | %d |\n", routes, teams, float64(jsonBytes)/1e6, memory,
		float64(compile.Microseconds())/1000, float64(build.Microseconds())/1000, lookup.Nanoseconds())
	runtime.KeepAlive(parsed)
	runtime.KeepAlive(dir)
	runtime.KeepAlive(set)
	return nil
}

// lookupTime returns the mean time of a route lookup, or -1 if a path matches no route.
func lookupTime(t *route.Table, routes int) time.Duration {
	const lookups = 200000
	paths := make([]string, routes)
	hostnames := make([]string, routes)
	for i := range routes {
		paths[i], hostnames[i] = fmt.Sprintf("/area-%d/part-%d/item/42", i/400, i%7), fmt.Sprintf("site-%03d.example", i%400)
	}
	start := time.Now()
	for i := range lookups {
		if t.Match(hostnames[i%routes], paths[i%routes], "GET") == nil {
			return -1
		}
	}
	return time.Since(start) / lookups
}

// printDaemonRow prints the resource use of n idle daemon processes.
func printDaemonRow(ctx context.Context, out io.Writer, bin string, n int) error {
	f, stop, err := startUniformFleet(ctx, bin, n, func(i int) string { return fmt.Sprintf("127.1.%d.%d", i/200, 1+i%200) })
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(10 * time.Second)
	bytes0, cpu0, start := f.controlBytes(), f.cpu(), time.Now()
	time.Sleep(15 * time.Second)
	seconds := time.Since(start).Seconds() * float64(n)
	rss := 0
	for _, h := range f.Hosts {
		rss += h.Daemon.RSS()
	}
	fmt.Fprintf(out, "| %d | %.2f | %.1f | %.0f |\n", n, 100*(f.cpu()-cpu0).Seconds()/seconds,
		float64(rss)/float64(n)/(1<<20), float64(f.controlBytes()-bytes0)/seconds)
	return nil
}

// controlBytes returns the number of bytes that all daemons have sent for control traffic.
func (f *Fleet) controlBytes() uint64 {
	var sum uint64
	for _, h := range f.Hosts {
		if s, err := h.Status(); err == nil {
			sum += s.Control.Traffic.BytesOut
		}
	}
	return sum
}
