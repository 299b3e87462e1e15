package msg

//go:generate go tool msgp -o sharereport_gen.go -tests=false -io=false

//msgp:limit arrays:64 maps:64
//msgp:tuple TeamSlots ShareReport

// MaxReportTeams is the maximum number of teams in a ShareReport. A longer report is not
// decoded.
const MaxReportTeams = 24

// TeamSlots is the use of one team at one guard.
type TeamSlots struct {
	// Team is the hash of the team's name.
	Team uint32
	// Slots is the mean number of slots that the team's requests use, in thousandths.
	Slots uint32
}

// ShareReport is a datagram by which a guard reports to another guard of the same service how
// much of its slots each team uses.
type ShareReport struct {
	// Host is the name of the sender.
	Host    string
	Service string
	// Slots is the number of slots of the service's instances on the sender's host.
	Slots uint32
	// Teams are the teams that use the most, in ascending order of their hashes. A team
	// that is not listed counts as one that uses nothing there.
	Teams []TeamSlots `msg:"teams,limit=24"`
}
