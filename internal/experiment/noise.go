package experiment

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
)

// Noise is a long run of healthy instances with noisy service times: each instance
// independently has short bursts of slow responses, as during a garbage collection or a backup.
// Only the detectors run, on generated samples, and nothing is ejected. All instances are healthy,
// so that every alarm is a false positive.
type Noise struct {
	Site Site
	// Load is the arrival rate as a share of capacity.
	Load float64
	// BurstInterval is the mean time between two bursts of an instance. The length of a
	// burst is uniform between a tenth of MaxBurst and MaxBurst.
	BurstInterval, MaxBurst time.Duration
	// BurstFactor is the slowdown during a burst.
	BurstFactor float64
}

// DefaultNoise returns the noise that detection is required to tolerate: bursts of five times the
// service time, up to two seconds long, once a minute at each instance.
func DefaultNoise(site Site) Noise {
	return Noise{Site: site, Load: 0.6, BurstInterval: time.Minute, MaxBurst: 2 * time.Second, BurstFactor: 5}
}

// CountAlarms simulates about the given number of instance-hours and returns the false alarms
// and the instance-hours simulated.
func (n Noise) CountAlarms(hours float64, seed uint64) (alarms int, instanceHours float64) {
	workers := runtime.NumCPU()
	perWorker := time.Duration(hours / float64(n.Site.Instances) / float64(workers) * float64(time.Hour))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for k := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			count := n.run(perWorker, rand.New(rand.NewPCG(seed, uint64(k))))
			mu.Lock()
			alarms += count
			mu.Unlock()
		}()
	}
	wg.Wait()
	return alarms, perWorker.Hours() * float64(n.Site.Instances*workers)
}

// run simulates all instances for a time and returns the number of alarms.
func (n Noise) run(length time.Duration, rng *rand.Rand) int {
	instances := n.Site.Instances
	detectors := make([]*detect.Detector, instances)
	references := make([]detect.Reference, instances)
	burstEnd := make([]time.Duration, instances)
	nextBurst := make([]time.Duration, instances)
	for i := range detectors {
		detectors[i] = detect.NewDetector(n.Site.Params)
		nextBurst[i] = time.Duration(rng.ExpFloat64() * float64(n.BurstInterval))
	}
	rate := n.Load * n.Site.Capacity()
	alarms := 0
	for now := time.Duration(0); now < length; now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		i := rng.IntN(instances)
		if now >= nextBurst[i] {
			burstEnd[i] = now + time.Duration((0.1+0.9*rng.Float64())*float64(n.MaxBurst))
			nextBurst[i] = burstEnd[i] + time.Duration(rng.ExpFloat64()*float64(n.BurstInterval))
		}
		seconds := n.Site.MedianService.Seconds() * math.Exp(n.Site.LogStdDev*rng.NormFloat64())
		if now < burstEnd[i] {
			seconds *= n.BurstFactor
		}
		took := time.Duration(seconds * float64(time.Second))
		at := epoch.Add(now)
		if detectors[i].AddResponse(at, references[i].At(at), took, false) && detectors[i].Health() == detect.Suspect {
			alarms++
		}
		// One other instance receives the sample, as it would with the front's next request.
		references[(i+1+rng.IntN(instances-1))%instances].Add(at, took, false)
	}
	return alarms
}
