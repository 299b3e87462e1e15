package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// toggle is the value of a key that turns a feature on or off. The zero value leaves it to
// the other settings.
type toggle uint8

const (
	toggleAuto toggle = iota
	toggleYes
	toggleNo
)

var toggleNames = []string{"auto", "yes", "no"}

// resolve returns whether the feature is on; auto is what the other settings ask for.
func (t toggle) resolve(auto bool) bool { return t == toggleYes || t == toggleAuto && auto }

// OverloadTerms maps the name of an adapter to the term by which its platform states that
// callers may ask for more than there is room for. The daemon adds those of the adapters that
// it was built with.
var OverloadTerms = map[string]string{}

// resolveToggles decides on the features whose key is auto.
func (c *Config) resolveToggles() {
	term, known := OverloadTerms[c.Adapter]
	overload := known && slices.Contains(c.Terms, term)
	c.FairShares = c.fairShares.resolve(overload)
	c.LearnRefusals = c.learnRefusals.resolve(c.FairShares || c.hasSeveralAreas())
}

// hasSeveralAreas reports whether the data centres lie in more than one area.
func (c *Config) hasSeveralAreas() bool {
	distinct := make(map[string]bool, len(c.Areas))
	for _, area := range c.Areas {
		distinct[area] = true
	}
	return len(distinct) > 1
}

func toggleKey(section, name, doc string, field func(*Config) *toggle) key {
	k := choice(section, name, toggleNames[toggleAuto], doc, toggleNames, nil)
	k.get = func(c *Config) string { return toggleNames[*field(c)] }
	k.set = func(c *Config, v string) error {
		i := slices.Index(toggleNames, v)
		if i < 0 {
			return errors.Errorf("%q is not an allowed value", v)
		}
		*field(c) = toggle(i)
		return nil
	}
	return k
}

// yesNoKey is a toggleKey without auto; the default is no.
func yesNoKey(section, name, doc string, field func(*Config) *bool) key {
	k := choice(section, name, toggleNames[toggleNo], doc, []string{toggleNames[toggleYes], toggleNames[toggleNo]}, nil)
	k.get = func(c *Config) string {
		if *field(c) {
			return toggleNames[toggleYes]
		}
		return toggleNames[toggleNo]
	}
	k.set = func(c *Config, v string) error {
		if v != toggleNames[toggleYes] && v != toggleNames[toggleNo] {
			return errors.Errorf("%q is not an allowed value", v)
		}
		*field(c) = v == toggleNames[toggleYes]
		return nil
	}
	return k
}

func termsKey() key {
	return key{
		section: "platform", name: "terms", unit: "word list", bound: "comma-separated words",
		doc:      "terms that the platform states to be in force, as it names them; keys with the default auto follow from them",
		expected: "comma-separated words",
		get:      func(c *Config) string { return strings.Join(c.Terms, ", ") },
		set: func(c *Config, v string) error {
			c.Terms = splitList(v)
			return nil
		},
	}
}

func areasKey() key {
	const expected = "comma-separated pairs of a data centre and its area, for example north-1:north, south-1:south"
	return key{
		section: "peers", name: "areas", unit: "DC:area list", bound: "comma-separated pairs of names",
		doc:      "the area of each data centre; traffic between areas is slow and expensive, so that requests leave their area only for want of room",
		expected: expected,
		get: func(c *Config) string {
			var pairs []string
			for _, dc := range slices.Sorted(maps.Keys(c.Areas)) {
				pairs = append(pairs, dc+":"+c.Areas[dc])
			}
			return strings.Join(pairs, ", ")
		},
		set: func(c *Config, v string) error {
			c.Areas = make(map[string]string)
			for _, pair := range splitList(v) {
				dc, area, _ := strings.Cut(pair, ":")
				if !validName(dc) || !validName(area) {
					return errors.Errorf("%q is not a pair of names", pair)
				}
				if other, ok := c.Areas[dc]; ok && other != area {
					return errors.Errorf("data centre %q is in two areas, %q and %q", dc, other, area)
				}
				c.Areas[dc] = area
			}
			return nil
		},
	}
}

// splitList splits a comma-separated list and drops empty entries.
func splitList(v string) []string {
	var out []string
	for _, part := range strings.Split(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
