package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestApplyLiveChangesLiveKeysOnly(t *testing.T) {
	running, err := Parse("f.ini", []byte(validSettings))
	assert.NilError(t, err)
	updated, err := Parse("f.ini", []byte(validSettings+"[log]\nlevel = warn\n[guard]\ngrant_life = 2s\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, Diff(running, updated), []Change{{Key: "[log] level", Live: true}, {Key: "[guard] grant_life"}})
	result := ApplyLive(running, updated)
	assert.Equal(t, result.LogLevel, "warn")
	assert.Equal(t, result.GrantTTL, running.GrantTTL)
	assert.DeepEqual(t, Diff(running, running), []Change(nil))
}

// For every key, get must return a value that set accepts and that reads back the same;
// otherwise Diff would miss changes of the key.
func TestEveryKeyRoundTrips(t *testing.T) {
	c, err := Parse("f.ini", []byte(validSettings))
	assert.NilError(t, err)
	for _, k := range keys {
		value := k.get(c)
		if value == "" {
			continue
		}
		var again Config
		assert.NilError(t, k.set(&again, value), k.name)
		assert.Equal(t, k.get(&again), value, k.name)
	}
}
