package msg

//go:generate go tool msgp -o teams_gen.go -tests=false -io=false

//msgp:limit arrays:4096 maps:64
//msgp:tuple TeamPacket TeamUsage TeamLevel TeamNotice

// TeamPacket is a datagram about the rates of teams.
type TeamPacket struct {
	// From is the sending host, and Incarnation its start time in Unix milliseconds.
	From        string
	Incarnation uint64
	Usages      []TeamUsage  `msg:"uses,limit=1024"`
	Levels      []TeamLevel  `msg:"levels,limit=1024"`
	Notices     []TeamNotice `msg:"notices,limit=1024"`
}

// TeamUsage tells the home of a team, the host that keeps its account, how many requests
// another host has admitted. It may query whether one more request may pass.
type TeamUsage struct {
	Team string
	// Seq numbers the messages of this host about the team since the host created its
	// account of the team, which it drops when it is idle.
	Seq uint32
	// Count is the number of requests admitted by the host without a query since it created
	// the account, plus those that others reported to it, or that it granted them on a
	// query, instead of the home, less those that did not run and second grants of a
	// query. Confirmed is the part of it included in Level.
	Count, Confirmed int64
	// Level is the usage of the team as known to the sender, in requests. Known reports
	// whether the sender has run for long enough to know it.
	Level float32
	Known bool
	// ConfirmedByReceiver reports whether the receiver was the one to confirm Confirmed.
	ConfirmedByReceiver bool
	// Forwarded reports that the message was forwarded by a host that received it but
	// does not keep the account.
	Forwarded bool
	// QueryID identifies the query of the sender, or is 0 if there is none.
	QueryID uint32
}

// TeamLevel answers a TeamUsage.
type TeamLevel struct {
	Team string
	// Seq and Count are those of the confirmed TeamUsage.
	Seq   uint32
	Count int64
	Level float32
	Known bool
	// NearLimitMS is how long to query the home before each request, because the team is
	// close to its limit, in milliseconds. It is 0 if the team is not.
	NearLimitMS uint32
	// QueryID identifies the query that is answered. If it is not Granted, RetryAfterMS is the
	// time until a request would be, in milliseconds.
	QueryID      uint32
	Granted      bool
	RetryAfterMS uint32
}

// TeamNotice tells all hosts that a team is close to its limit.
type TeamNotice struct {
	Team  string
	Level float32
	// NearLimitMS has the same meaning as in TeamLevel.
	NearLimitMS uint32
	// Forward asks the receiver to forward the notice within its data centre.
	Forward bool
}
