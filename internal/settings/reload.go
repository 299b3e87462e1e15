package settings

// Change is one key whose value differs between two settings files.
type Change struct {
	// Key is the section and name, such as "[log] level".
	Key string
	// Live is set if a running process applies the new value; otherwise it is applied
	// at the next start.
	Live bool
}

// Diff returns the keys whose values differ, in the order of the reference.
func Diff(old, updated *Config) []Change {
	var out []Change
	for _, k := range keys {
		if k.get(old) != k.get(updated) {
			out = append(out, Change{Key: "[" + k.section + "] " + k.name, Live: k.live})
		}
	}
	return out
}

// ApplyLive returns the settings of a running process after a reload: the values of live
// keys from updated, all other values from running.
func ApplyLive(running, updated *Config) *Config {
	out := *running
	for _, k := range keys {
		if !k.live {
			continue
		}
		if err := k.set(&out, k.get(updated)); err != nil {
			// Cannot happen: the value passed the same check when it was loaded.
			panic("settings: " + k.name + ": " + err.Error())
		}
	}
	return &out
}
