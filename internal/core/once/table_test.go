package once_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// A key without a timestamp must not be claimed twice when its shard gets a new owner
// without the key table. A request that was claimed just before the change may run for
// ClaimTimeout, and the caller may send its key again for another Window. A new owner that
// waited for the longer of the two accepted the key while it had to be remembered.
func TestNewOwnerRefusesOpaqueKeysUntilEarlierRunsAreForgotten(t *testing.T) {
	cfg := once.DefaultTableConfig()
	changed := time.Unix(1_800_000_000, 0)
	claim := func(table *once.Table, now time.Time) once.ClaimOutcome {
		outcome, _ := table.Claim(now, now.UnixMilli(), &msg.KeyClaim{Key: "opaque", RequestID: now.String()})
		return outcome
	}
	table := once.NewTable(cfg)
	table.Activate(changed, changed.UnixMilli())
	runEnded := changed.Add(cfg.ClaimTimeout)
	for _, sinceEnd := range []time.Duration{-time.Minute, 0, time.Minute, cfg.Window - time.Millisecond} {
		assert.Equal(t, claim(table, runEnded.Add(sinceEnd)), once.ClaimUnknown, "%v after the end of the earlier run", sinceEnd)
	}
	assert.Equal(t, claim(table, runEnded.Add(cfg.Window)), once.ClaimRun)
}
