package msg

//go:generate go tool msgp -o teams_gen.go -tests=false -io=false

//msgp:limit arrays:4096 maps:64
//msgp:tuple TeamPacket TeamUse TeamLevel TeamNotice

// TeamPacket is one datagram about the rates of teams.
type TeamPacket struct {
	// From is the sending host and Incarnation its start, in Unix milliseconds.
	From        string
	Incarnation uint64
	Usages      []TeamUsage  `msg:"uses,limit=1024"`
	Levels      []TeamLevel  `msg:"levels,limit=1024"`
	Notices     []TeamNotice `msg:"notices,limit=1024"`
}

// TeamUsage tells the host that keeps a team's account what another host has let
// pass, and may ask it for one request more.
type TeamUsage struct {
	Team string
	// Seq counts the uses that this host has told of the team.
	Seq uint32
	// Count is all that the host has let pass since its start, less what did not
	// run; Confirmed is the part of it that Level holds.
	Count, Confirmed int64
	// Level is the team's use as the sender knows it, in requests, and Known says that
	// the sender has run for long enough to know.
	Level float32
	Known bool
	// ConfirmedByReceiver says that the receiver confirmed Base.
	ConfirmedByReceiver bool
	// Forwarded says that a host that the account was asked of passes this on.
	Forwarded bool
	// QueryID is the sender's number of the request asked for, 0 for none.
	QueryID uint32
}

// TeamLevel answers a TeamUse.
type TeamLevel struct {
	Team string
	// Seq and Count are those of the use that is confirmed.
	Seq   uint32
	Count int64
	Level float32
	Known bool
	// NearLimitMS is for how long requests are to be asked for, because the team is close
	// to its limit, in milliseconds; 0 where it is not.
	NearLimitMS uint32
	// QueryID is the request that was asked for; where it is not Granted, WaitMS is when
	// another would be, in milliseconds.
	QueryID      uint32
	Granted      bool
	RetryAfterMS uint32
}

// TeamNotice tells all hosts that a team is close to its limit.
type TeamNotice struct {
	Team  string
	Level float32
	// NearLimitMS is as in TeamLevel.
	NearLimitMS uint32
	// Forward asks the receiver to pass the notice on in its data centre.
	Forward bool
}
