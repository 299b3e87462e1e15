// Package eject decides which suspects a front leaves out so that a service
// never falls below its floor.
//
// The rule is one total order on shared evidence: worst evidence first, ties
// by name. Fronts with the same evidence leave out the same instances without
// agreeing on anything else.
package eject

import (
	"sort"

	"github.com/radishhoist/radishhoist/record"
)

// Member is one instance as the rule sees it.
type Member struct {
	Name  string
	Slots int
	// Usable is false for instances that are leaving, dead, cold or
	// unreachable: they count against the healthy capacity before any suspect.
	Usable bool
	// Suspect asks for the instance to be left out.
	Suspect bool
	// Evidence ranks suspects, higher is worse.
	Evidence uint32
}

// Result is the outcome of the rule.
type Result struct {
	// Ejected marks the members that are left out, by index.
	Ejected []bool
	// Healthy is the capacity that remains, in slots.
	Healthy int
	// Required is the floor, in slots.
	Required int
	// Known is the service's whole capacity, in slots.
	Known int
	// KeptSuspects counts suspects that stay only because of the floor.
	KeptSuspects int
}

// Apply runs the rule. Required slots are the floor's percentage of all known
// slots, rounded up; the floor's number of instances holds as well.
func Apply(members []Member, floor record.Floor) Result {
	res := Result{Ejected: make([]bool, len(members))}
	usable := 0
	var suspects []int
	for i, m := range members {
		res.Known += m.Slots
		if !m.Usable {
			continue
		}
		usable++
		res.Healthy += m.Slots
		if m.Suspect {
			suspects = append(suspects, i)
		}
	}
	res.Required = (res.Known*floor.Percent + 99) / 100
	sort.Slice(suspects, func(a, b int) bool { return worse(members[suspects[a]], members[suspects[b]]) })
	for _, i := range suspects {
		left := res.Healthy - members[i].Slots
		if left < res.Required || usable-1 < max(floor.Instances, 1) {
			res.KeptSuspects++
			continue
		}
		res.Ejected[i] = true
		res.Healthy = left
		usable--
	}
	return res
}

func worse(a, b Member) bool {
	if a.Evidence != b.Evidence {
		return a.Evidence > b.Evidence
	}
	return a.Name < b.Name
}
