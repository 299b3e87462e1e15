// Package eject decides which suspect instances a front ejects, without taking a service
// below its capacity floor. An ejected instance is not selected as a target except for
// trials or as a fallback.
//
// Suspects are considered in a total order: highest evidence first, ties by name.
// Fronts with the same evidence therefore eject the same instances without any other
// coordination.
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
	// reduce the healthy capacity before any suspect is ejected.
	Usable bool
	// Suspect marks the instance as a candidate for ejection.
	Suspect bool
	// Evidence ranks suspects; higher is worse.
	Evidence uint32
}

// Result is the outcome of Select.
type Result struct {
	// Ejected reports, by index, which members are ejected.
	Ejected []bool
	// HealthySlots is the capacity that remains after the ejections, in slots.
	HealthySlots int
	// RequiredSlots is the capacity floor, in slots.
	RequiredSlots int
	// KnownSlots is the total capacity of all members, in slots.
	KnownSlots int
	// KeptSuspects is the number of suspects that are not ejected because of the floor.
	KeptSuspects int
}

// Select decides which members to eject. The required capacity is the floor's percentage
// of all known slots, rounded up. In addition, the floor's number of instances, at least
// one, must remain usable.
func Select(members []Member, floor record.Floor) Result {
	res := Result{Ejected: make([]bool, len(members))}
	usable := 0
	var suspects []int
	for i, m := range members {
		res.KnownSlots += m.Slots
		if !m.Usable {
			continue
		}
		usable++
		res.HealthySlots += m.Slots
		if m.Suspect {
			suspects = append(suspects, i)
		}
	}
	res.RequiredSlots = (res.KnownSlots*floor.Percent + 99) / 100
	sort.Slice(suspects, func(a, b int) bool { return ejectedBefore(members[suspects[a]], members[suspects[b]]) })
	for _, i := range suspects {
		remaining := res.HealthySlots - members[i].Slots
		if remaining < res.RequiredSlots || usable-1 < max(floor.Instances, 1) {
			res.KeptSuspects++
			continue
		}
		res.Ejected[i] = true
		res.HealthySlots = remaining
		usable--
	}
	return res
}

// ejectedBefore reports whether suspect a is considered for ejection before suspect b.
func ejectedBefore(a, b Member) bool {
	if a.Evidence != b.Evidence {
		return a.Evidence > b.Evidence
	}
	return a.Name < b.Name
}
