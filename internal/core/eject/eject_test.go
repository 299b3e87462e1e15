package eject

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/radishhoist/radishhoist/record"
)

func TestEjectionNeverGoesBelowTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "members")
		members := make([]Member, n)
		usable := 0
		for i := range members {
			members[i] = Member{
				Name: fmt.Sprintf("m%02d", i), Slots: rapid.IntRange(1, 9).Draw(t, "slots"),
				Usable: rapid.IntRange(0, 9).Draw(t, "usable") > 1, Suspect: rapid.Bool().Draw(t, "suspect"),
				Evidence: uint32(rapid.IntRange(0, 5).Draw(t, "evidence")),
			}
			if members[i].Usable {
				usable += members[i].Slots
			}
		}
		floor := record.Floor{Percent: rapid.IntRange(1, 100).Draw(t, "percent"), Instances: rapid.IntRange(0, 10).Draw(t, "instances")}
		r := Select(members, floor)
		remaining, ejected := 0, false
		for i, m := range members {
			ejected = ejected || r.Ejected[i]
			assert.Assert(t, !r.Ejected[i] || m.Usable && m.Suspect)
			if m.Usable && !r.Ejected[i] {
				remaining += m.Slots
			}
		}
		assert.Equal(t, remaining, r.HealthySlots)
		assert.Assert(t, !ejected || remaining >= r.RequiredSlots, "ejected to %d below the floor of %d", remaining, r.RequiredSlots)
		assert.Assert(t, usable == 0 || remaining > 0)
		// The result must not depend on the order of the members.
		reversed := make([]Member, n)
		for i := range members {
			reversed[n-1-i] = members[i]
		}
		reversedResult := Select(reversed, floor)
		for i := range members {
			assert.Equal(t, reversedResult.Ejected[n-1-i], r.Ejected[i])
		}
	})
}

func TestUnusableInstancesUseUpTheCapacityMarginFirst(t *testing.T) {
	members := []Member{
		{Name: "a", Slots: 5, Usable: false}, {Name: "b", Slots: 5, Usable: true, Suspect: true, Evidence: 9},
		{Name: "c", Slots: 5, Usable: true}, {Name: "d", Slots: 5, Usable: true},
	}
	r := Select(members, record.Floor{Percent: 75})
	assert.Equal(t, r.Ejected[1], false, "a suspect was ejected although a dead instance already brings the service to its floor")
	assert.Equal(t, r.KeptSuspects, 1)
}
