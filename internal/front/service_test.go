package front

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/record"
)

// newReportedFront returns a front that knows instances of one service with the given names, each on
// a host of its own.
func newReportedFront(names ...string) *Front {
	records := directory.Compile([]*record.Record{{
		Key: record.Key{Kind: record.KindConfiguration, Name: "main"}, Version: 1,
		Spec: &record.Configuration{Services: []record.NamedService{{Name: "s", Service: record.Service{Preset: record.PresetQuick}}}},
	}}, true)
	var hosts []*directory.Host
	for n, name := range names {
		hosts = append(hosts, &directory.Host{
			Name: fmt.Sprint("h", n), Alive: true, Instances: []directory.Instance{{Name: name, Service: "s", Slots: 4}},
		})
	}
	f := &Front{paths: &paths{}}
	f.services.byName = make(map[string]*serviceState)
	f.services.update(directory.Build(records, hosts), f.paths, f.cfg)
	return f
}

// Guards against load reports recorded for another instance than the one that they name, or for only
// one of several instances of the same name, when instances are announced in any order.
func TestLoadReportsUpdateAllInstancesOfTheirName(t *testing.T) {
	const reportedRunning = 3
	f := newReportedFront("s-2", "s-10", "s-1", "s-2", "s-0")
	for name, count := range map[string]int{"s-0": 1, "s-1": 1, "s-10": 1, "s-2": 2, "s-11": 0, "": 0, "t": 0} {
		f.HandleLoadReport(&msg.LoadReport{Loads: []msg.InstanceLoad{{Service: "s", Instance: name, Load: msg.Load{Slots: 4, Running: reportedRunning}}}})
		updated := 0
		for _, target := range f.services.get("s").targets {
			if target.observed.load.Running == reportedRunning {
				updated++
				assert.Equal(t, target.Name, name)
			}
			target.observed.load = msg.Load{}
		}
		assert.Equal(t, updated, count, "%q", name)
	}
}

// BenchmarkHandleLoadReport measures how the time for one load report grows with the instances of the
// service.
func BenchmarkHandleLoadReport(b *testing.B) {
	for _, n := range []int{24, 984} {
		b.Run(fmt.Sprint(n, " instances"), func(b *testing.B) {
			names := make([]string, n)
			for k := range names {
				names[k] = fmt.Sprint("s-", k)
			}
			f := newReportedFront(names...)
			report := &msg.LoadReport{Loads: []msg.InstanceLoad{{Service: "s", Load: msg.Load{Slots: 4}}}}
			b.ResetTimer()
			for k := range b.N {
				report.Loads[0].Instance = names[k%n]
				f.HandleLoadReport(report)
			}
		})
	}
}
