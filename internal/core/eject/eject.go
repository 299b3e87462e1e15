// Package eject decides which suspect instances a front leaves out, without taking
// a service below its capacity floor.
//
// Suspects are considered in a total order: highest evidence first, ties by name.
// Fronts with the same evidence therefore leave out the same instances without any
// other coordination.
package eject

import (
	"sort"

	"github.com/radishhoist/radishhoist/record"
)

// Member is one instance of the service.
type Member struct {
	Name  string
	Slots int
	// Usable is false for instances that are leaving, dead, cold or unreachable. They
	// reduce the healthy capacity before any suspect is left out.
	Usable bool
	// Suspect marks the instance as a candidate to be left out.
	Suspect bool
	// Evidence ranks suspects; higher is worse.
	Evidence uint32
}

// Result is the outcome of Apply.
type Result struct {
	// Ejected reports which members are left out, by index.
	Ejected []bool
	// Healthy is the remaining capacity, in slots.
	Healthy int
	// Required is the floor, in slots.
	Required int
	// Known is the total capacity of all members, in slots.
	Known int
	// KeptSuspects is the number of suspects that remain in use because of the floor.
	KeptSuspects int
}

// Apply decides which members to leave out. The required capacity is the floor's
// percentage of all known slots, rounded up. The floor's number of instances, at
// least one, must remain usable as well.
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
	sort.Slice(suspects, func(a, b int) bool { return ranksWorse(members[suspects[a]], members[suspects[b]]) })
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

// ranksWorse reports whether a is left out before b.
func ranksWorse(a, b Member) bool {
	if a.Evidence != b.Evidence {
		return a.Evidence > b.Evidence
	}
	return a.Name < b.Name
}
