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

// Result summarizes the runs of one policy in one case.
type Result struct {
	Site, Policy string
	Fault        Fault
	Load         float64
	Runs         int
	// DetectP50 and DetectP99 are percentiles of the detection time in the runs.
	DetectP50, DetectP99 time.Duration
	// FalseEjections is the number of ejections of healthy instances per instance-hour.
	FalseEjections float64
	// FailedPct and LatePct are percentages of the requests, not counting retries.
	FailedPct, LatePct float64
	// P99 is the 99th percentile of the latency of requests that arrived after the fault began.
	P99 time.Duration
	// MinMargin is the least capacity above the floor, in slots. FloorViolations counts ejections
	// that reduced the capacity below the floor.
	MinMargin       int
	FloorViolations int
	// StartsPerRequest is the number of executions started per request.
	StartsPerRequest float64
	// TailFailures is the number of failures in the last ten seconds of the runs.
	TailFailures int
}

// Policies returns the names of radishhoist and the baselines.
func Policies() []string {
	out := []string{"radishhoist"}
	for _, b := range Baselines {
		out = append(out, b.Name)
	}
	return out
}

// runOne runs one policy with one seed.
func runOne(site Site, policy string, fault Fault, load float64, seed uint64) *simulation {
	sim := &simulation{site: site, fault: fault, load: load, rng: rand.New(rand.NewPCG(seed, 11)), metrics: newMetrics()}
	var send func()
	if policy == "radishhoist" {
		send = newRadishhoistSim(sim).send
	} else {
		i := slices.IndexFunc(Baselines, func(b Baseline) bool { return b.Name == policy })
		send = newBaselineSim(sim, Baselines[i]).send
	}
	sim.scheduleArrivals(send)
	sim.run(RunLength + deadline)
	return sim
}

// RunCase runs one policy in one case with the seeds first to first+n-1.
func RunCase(site Site, policy string, fault Fault, load float64, first uint64, n int) Result {
	sims := make([]*simulation, n)
	var wg sync.WaitGroup
	workers := make(chan struct{}, runtime.NumCPU())
	for i := range sims {
		wg.Add(1)
		workers <- struct{}{}
		go func() {
			defer wg.Done()
			sims[i] = runOne(site, policy, fault, load, first+uint64(i))
			<-workers
		}()
	}
	wg.Wait()
	return summarize(site, policy, fault, load, sims)
}

func summarize(site Site, policy string, fault Fault, load float64, sims []*simulation) Result {
	r := Result{Site: site.Name, Policy: policy, Fault: fault, Load: load, Runs: len(sims), MinMargin: math.MaxInt}
	latencyAfterFault := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var detectionTimes []time.Duration
	requests, starts, failed, late, falseEjections := 0, 0, 0, 0, 0.0
	for _, sim := range sims {
		requests += sim.metrics.requests
		starts += sim.metrics.starts
		failed += sim.metrics.failed
		late += sim.metrics.late
		ejections := float64(sim.metrics.falseEjections)
		if policy != "radishhoist" {
			// In a baseline each front ejects independently: an ejection by all fronts counts as
			// one.
			ejections /= float64(site.Fronts)
		}
		falseEjections += ejections
		latencyAfterFault.Merge(sim.metrics.latencyAfterFault)
		detectionTimes = append(detectionTimes, sim.detectionTime())
		r.MinMargin = min(r.MinMargin, sim.metrics.minMargin)
		r.FloorViolations += sim.metrics.floorViolations
		r.TailFailures += sim.metrics.tailFailures
	}
	slices.Sort(detectionTimes)
	r.DetectP50, r.DetectP99 = detectionTimes[len(detectionTimes)/2], detectionTimes[len(detectionTimes)*99/100]
	hours := float64(len(sims)) * float64(site.Instances) * RunLength.Hours()
	r.FalseEjections = falseEjections / hours
	r.FailedPct, r.LatePct = 100*float64(failed)/float64(requests), 100*float64(late)/float64(requests)
	r.P99 = time.Duration(latencyAfterFault.ValueAtQuantile(99)) * time.Microsecond
	r.StartsPerRequest = float64(starts) / float64(requests)
	return r
}
