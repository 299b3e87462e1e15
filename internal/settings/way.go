package settings

import (
	"fmt"
	"time"

	"github.com/radishhoist/radishhoist/internal/objects"
)

// Way adds up what may pass from the platform's acknowledgement of a record until it
// is in force on every host, where something goes wrong at each step.
type Way struct {
	// Notice is until a watcher has heard of it: the watch that waited was lost, with
	// its connection or in a silence of the platform, or refused.
	Notice time.Duration
	// Tell is a list, where the history was dropped, and the way to the hosts.
	Tell time.Duration
	// Repair is until a host that rumors have missed finds out.
	Repair time.Duration
}

// Total is the whole way.
func (w Way) Total() time.Duration { return w.Notice + w.Tell + w.Repair }

const (
	// TellTime is a list and the rumors after it: 8 ms for the one and up to 20 ms for
	// the others, measured with 24 hosts; hosts that are told later are found by the
	// repair.
	TellTime = 100 * time.Millisecond
	// repairSpread is how many intervals may pass until a host's next digest: each is
	// half to one and a half. 50 to 800 hosts of which rumors missed some were all
	// repaired within 1.4 intervals (virtual time).
	repairSpread = 1.5
	// stepShare is the part of ApplyWithin that each of the steps' times gets where it
	// is not written, or less where the bound is below 2 s. 0.3 + 0.4 s for the notice,
	// 0.1 s to tell and 0.45 for the repair make 2.0 s of 2 s and 13.3 s of 17 s.
	stepShare = 0.3
	// stepLeast is the least that is derived: a watch, a pause or a digest ten times a
	// second is what a host can bear.
	stepLeast = 100 * time.Millisecond
	// awayMaxMost is the longest pause that is derived: a platform that is away for
	// hours is asked every 2 s by two hosts of a data centre, which it does not feel.
	awayMaxMost = 2 * time.Second
	// watchWaitMost and repairMost are the longest of the other two: the platform holds
	// no watch for longer than 30 s.
	watchWaitMost = 25 * time.Second
	repairMost    = 5 * time.Second
)

// Way gives the time that a change may take under these settings.
func (c *Config) Way() Way {
	return Way{
		Notice: max(c.WatchWait, c.AwayMax) + objects.UsualAnswer,
		Tell:   TellTime,
		Repair: time.Duration(repairSpread * float64(c.RepairInterval)),
	}
}

// deriveSteps sets the times of the steps that were not written.
func (c *Config) deriveSteps() {
	c.stepsWritten = c.WatchWait != 0 || c.AwayMax != 0 || c.RepairInterval != 0
	fixed := objects.UsualAnswer + TellTime
	fits := time.Duration(float64(c.ApplyWithin-fixed) / (1 + repairSpread))
	part := min(time.Duration(stepShare*float64(c.ApplyWithin)), fits)
	part = max(part, stepLeast).Round(time.Millisecond)
	derive := func(field *time.Duration, most time.Duration) {
		if *field == 0 {
			*field = min(part, most)
		}
	}
	derive(&c.WatchWait, watchWaitMost)
	derive(&c.AwayMax, awayMaxMost)
	derive(&c.RepairInterval, repairMost)
}

// checkWay refuses written steps that together take longer than a change may. A bound
// that no steps can keep is warned of: the host serves all the same.
func (c *Config) checkWay() error {
	w := c.Way()
	if w.Total() <= c.ApplyWithin {
		return nil
	}
	err := fmt.Errorf("a change may take %s (%s until a watcher hears of it, by watch_wait and away_max; %s to tell; %s to repair, by repair_interval)",
		w.Total(), w.Notice, w.Tell, w.Repair)
	if c.stepsWritten {
		return err
	}
	c.Warnings = append(c.Warnings, fmt.Sprintf("[control] apply_within: %s is shorter than any steps can keep: %v", c.ApplyWithin, err))
	return nil
}
