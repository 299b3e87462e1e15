package experiment

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/detect"
)

// Noise is a long run of healthy instances whose service times are noisy: each
// instance, by itself, now and then answers five times slower for a moment,
// as in a garbage collection or a backup. Only detectors run, on samples made
// here; nothing is ejected, so that every alarm is a false one.
type Noise struct {
	Site Site
	// Load is the share of capacity.
	Load float64
	// Every is the mean time between two bursts of an instance; For the
	// greatest length of one, drawn evenly from a tenth of it.
	Every, For time.Duration
	// Factor is the slowdown in a burst.
	Factor float64
}

// DefaultNoise is the noise of the users' measure: bursts of five times the
// service time, up to two seconds long, once a minute at each instance.
func DefaultNoise(site Site) Noise {
	return Noise{Site: site, Load: 0.6, Every: time.Minute, For: 2 * time.Second, Factor: 5}
}

// Alarms runs the noise for a number of instance-hours and counts the false
// alarms.
func (n Noise) Alarms(hours float64, seed uint64) (alarms int, instanceHours float64) {
	workers := runtime.NumCPU()
	each := time.Duration(hours / float64(n.Site.Instances) / float64(workers) * float64(time.Hour))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for k := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			found := n.run(each, rand.New(rand.NewPCG(seed, uint64(k))))
			mu.Lock()
			alarms += found
			mu.Unlock()
		}()
	}
	wg.Wait()
	return alarms, each.Hours() * float64(n.Site.Instances*workers)
}

func (n Noise) run(length time.Duration, rng *rand.Rand) int {
	count := n.Site.Instances
	detectors := make([]*detect.Detector, count)
	references := make([]detect.Reference, count)
	burstEnd := make([]time.Duration, count)
	nextBurst := make([]time.Duration, count)
	for i := range detectors {
		detectors[i] = detect.NewDetector(n.Site.Params)
		nextBurst[i] = time.Duration(rng.ExpFloat64() * float64(n.Every))
	}
	rate := n.Load * n.Site.Capacity()
	alarms := 0
	for now := time.Duration(0); now < length; now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		i := rng.IntN(count)
		if now >= nextBurst[i] {
			burstEnd[i] = now + time.Duration((0.1+0.9*rng.Float64())*float64(n.For))
			nextBurst[i] = burstEnd[i] + time.Duration(rng.ExpFloat64()*float64(n.Every))
		}
		s := n.Site.Service.Seconds() * math.Exp(n.Site.Spread*rng.NormFloat64())
		if now < burstEnd[i] {
			s *= n.Factor
		}
		took := time.Duration(s * float64(time.Second))
		at := epoch.Add(now)
		if detectors[i].AddAnswer(at, references[i].At(at), took, false) && detectors[i].Health() == detect.Suspect {
			alarms++
		}
		// The sample rides to one other instance, as on a front's next request.
		references[(i+1+rng.IntN(count-1))%count].Add(at, took, false)
	}
	return alarms
}
