package experiment

import (
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result sums up the runs of one policy in one case.
type Result struct {
	Site, Policy string
	Fault        Fault
	Load         float64
	Runs         int
	// DetectP50 and DetectP99 are over the runs.
	DetectP50, DetectP99 time.Duration
	// FalseOut is healthy instances put out, per healthy instance-hour.
	FalseOut float64
	// FailedPct and LatePct are of the fresh requests.
	FailedPct, LatePct float64
	// P99 is the latency of answers once the fault has begun.
	P99 time.Duration
	// Margin is the least capacity beyond the floor, in slots.
	Margin      int
	FloorBreaks int
	// Works is the work begun per fresh request.
	Works float64
	// LateFailed is failures in the last ten seconds.
	LateFailed int
}

// Policies lists ours and the baselines.
func Policies() []string {
	out := []string{"radishhoist"}
	for _, b := range Baselines {
		out = append(out, b.Name)
	}
	return out
}

// runOne is one run of one policy.
func runOne(site Site, policy string, fault Fault, load float64, seed uint64) *world {
	w := &world{site: site, fault: fault, load: load, rng: rand.New(rand.NewPCG(seed, 11)), m: newMetrics()}
	var send func()
	if policy == "radishhoist" {
		send = newOurs(w).send
	} else {
		i := slices.IndexFunc(Baselines, func(b Baseline) bool { return b.Name == policy })
		send = newBaseline(w, Baselines[i]).send
	}
	w.arrivals(send)
	w.run(RunFor + deadline)
	return w
}

// Case runs one policy in one case over seeds first to first+n-1.
func Case(site Site, policy string, fault Fault, load float64, first uint64, n int) Result {
	worlds := make([]*world, n)
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i := range worlds {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			worlds[i] = runOne(site, policy, fault, load, first+uint64(i))
			<-slots
		}()
	}
	wg.Wait()
	return sum(site, policy, fault, load, worlds)
}

func sum(site Site, policy string, fault Fault, load float64, worlds []*world) Result {
	r := Result{Site: site.Name, Policy: policy, Fault: fault, Load: load, Runs: len(worlds), Margin: math.MaxInt}
	after := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var detect []time.Duration
	fresh, works, failed, late, falseOut := 0, 0, 0, 0, 0.0
	for _, w := range worlds {
		fresh += w.m.fresh
		works += w.m.works
		failed += w.m.failed
		late += w.m.late
		out := float64(w.m.falseOut)
		if policy != "radishhoist" {
			// Each front ejects for itself; all of them together count as one.
			out /= float64(site.Fronts)
		}
		falseOut += out
		after.Merge(w.m.after)
		detect = append(detect, w.detection())
		r.Margin = min(r.Margin, w.m.unionMargin)
		r.FloorBreaks += w.m.floorBreaks
		r.LateFailed += w.m.lateFailed
	}
	slices.Sort(detect)
	r.DetectP50, r.DetectP99 = detect[len(detect)/2], detect[len(detect)*99/100]
	hours := float64(len(worlds)) * float64(site.Instances) * RunFor.Hours()
	r.FalseOut = falseOut / hours
	r.FailedPct, r.LatePct = 100*float64(failed)/float64(fresh), 100*float64(late)/float64(fresh)
	r.P99 = time.Duration(after.ValueAtQuantile(99)) * time.Microsecond
	r.Works = float64(works) / float64(fresh)
	return r
}
