package settings

import (
	"fmt"
	"time"

	"github.com/radishhoist/radishhoist/internal/objects"
)

// PropagationDelay is the worst-case time from the platform's acknowledgement of a record
// until the record is in force on every host, with a failure at each step.
type PropagationDelay struct {
	// Detection is the time until a watcher detects the change after its pending watch
	// was lost or rejected, for example because its connection broke or the platform
	// did not respond.
	Detection time.Duration
	// Distribution is the time to list the records, if the platform has dropped its
	// change history, and to send the change to the hosts.
	Distribution time.Duration
	// Repair is the time until a host that gossip has not reached learns of the change
	// from a digest.
	Repair time.Duration
}

// Total returns the sum of the steps.
func (d PropagationDelay) Total() time.Duration { return d.Detection + d.Distribution + d.Repair }

const (
	// distributionTime covers a list call and the gossip that follows. With 24 hosts
	// these take 8 ms and up to 20 ms. Hosts that gossip reaches later are covered by
	// the repair.
	distributionTime = 100 * time.Millisecond
	// maxRepairIntervals is the longest time until a host's next digest, in repair
	// intervals: each pause lasts 0.5 to 1.5 intervals. In simulations of 50 to 800
	// hosts, all hosts that gossip had missed were repaired within 1.4 intervals.
	maxRepairIntervals = 1.5
	// derivedFraction is the fraction of ApplyWithin that each timing gets if it is not
	// configured; below 2 s it gets less. Detection is then at most 0.3 of ApplyWithin plus
	// 0.4 s, Distribution 0.1 s and Repair 0.45 of ApplyWithin, in total 2.0 s of 2 s and
	// 13.3 s of 17 s.
	derivedFraction = 0.3
	// minDerived is the shortest derived timing: a host can sustain ten watches,
	// retries or digests per second.
	minDerived = 100 * time.Millisecond
	// maxDerivedRetryInterval is the longest derived MaxRetryInterval. During an outage of
	// hours, two hosts of each data centre then call the platform every 2 s, which is a
	// negligible load.
	maxDerivedRetryInterval = 2 * time.Second
	// maxDerivedWatchWait and maxDerivedRepairInterval limit the other two. The platform
	// holds no watch open for longer than 30 s.
	maxDerivedWatchWait      = 25 * time.Second
	maxDerivedRepairInterval = 5 * time.Second
)

// PropagationDelay returns the worst-case propagation delay of a change under these settings.
func (c *Config) PropagationDelay() PropagationDelay {
	return PropagationDelay{
		Detection:    max(c.WatchWait, c.MaxRetryInterval) + objects.LateThreshold,
		Distribution: distributionTime,
		Repair:       time.Duration(maxRepairIntervals * float64(c.RepairInterval)),
	}
}

// deriveTimings sets WatchWait, MaxRetryInterval and RepairInterval from ApplyWithin, each
// unless it is configured.
func (c *Config) deriveTimings() {
	c.timingsConfigured = c.WatchWait != 0 || c.MaxRetryInterval != 0 || c.RepairInterval != 0
	fixedDelay := objects.LateThreshold + distributionTime
	maxTiming := time.Duration(float64(c.ApplyWithin-fixedDelay) / (1 + maxRepairIntervals))
	timing := min(time.Duration(derivedFraction*float64(c.ApplyWithin)), maxTiming)
	timing = max(timing, minDerived).Round(time.Millisecond)
	derive := func(field *time.Duration, longest time.Duration) {
		if *field == 0 {
			*field = min(timing, longest)
		}
	}
	derive(&c.WatchWait, maxDerivedWatchWait)
	derive(&c.MaxRetryInterval, maxDerivedRetryInterval)
	derive(&c.RepairInterval, maxDerivedRepairInterval)
}

// checkPropagationDelay returns an error if the configured timings make a change take
// longer than ApplyWithin. If none is configured and even the derived timings exceed
// ApplyWithin, it only adds a warning, so that the host still serves.
func (c *Config) checkPropagationDelay() error {
	d := c.PropagationDelay()
	if d.Total() <= c.ApplyWithin {
		return nil
	}
	err := fmt.Errorf("a change may take %s (%s until a watcher detects it, set by watch_wait and away_max; %s to distribute it; %s to repair hosts that missed it, set by repair_interval)",
		d.Total(), d.Detection, d.Distribution, d.Repair)
	if c.timingsConfigured {
		return err
	}
	c.Warnings = append(c.Warnings, fmt.Sprintf("[control] apply_within: %s is too short for any timings: %v", c.ApplyWithin, err))
	return nil
}
