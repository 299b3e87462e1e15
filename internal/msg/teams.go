package msg

//go:generate go tool msgp -o teams_gen.go -tests=false -io=false

//msgp:limit arrays:4096 maps:64
//msgp:tuple TeamPacket TeamUsage TeamLevel TeamNotice

// TeamPacket is a datagram by which hosts exchange the usage of teams with a rate limit.
type TeamPacket struct {
	// From is the sending host, and Incarnation its start time in Unix milliseconds.
	From        string
	Incarnation uint64
	Usages      []TeamUsage  `msg:"uses,limit=1024"`
	Levels      []TeamLevel  `msg:"levels,limit=1024"`
	Notices     []TeamNotice `msg:"notices,limit=1024"`
}

// TeamUsage tells the home of a team, the host that keeps its account, how many requests
// another host has admitted. It may carry a query, which asks whether one more request may be
// admitted.
type TeamUsage struct {
	Team string
	// Seq numbers the sender's messages about the team. It starts again when the sender
	// creates a new account of the team; a host drops accounts that are idle.
	Seq uint32
	// Count is the number of requests that the sender admitted without a query since it
	// created the account, plus those that it accounts for in place of the home: those that
	// other hosts reported to it, and those that it granted on their queries. Requests that
	// did not run, and the second of two grants of one query, are subtracted. Confirmed is
	// the part of Count that Level includes.
	Count, Confirmed int64
	// Level is the usage of the team as known to the sender, in requests, without those of
	// Count that are not confirmed. Known is false while the sender may not know the usage
	// yet, after its start.
	Level float32
	Known bool
	// ConfirmedByReceiver reports whether Confirmed was confirmed by the receiver.
	ConfirmedByReceiver bool
	// SenderReceivesReports reports that other hosts report the team's usage to the sender,
	// although it is not the home. The receiver then does not report the usage any further, so
	// that one host at most passes it on.
	SenderReceivesReports bool
	// QueryID identifies the query, or is 0 if there is none.
	QueryID uint32
}

// TeamLevel answers a TeamUsage.
type TeamLevel struct {
	Team string
	// Seq and Count are those of the confirmed TeamUsage.
	Seq   uint32
	Count int64
	// Level is the usage of the team as known to the sender, with the requests of Count.
	// Known has the same meaning as in TeamUsage.
	Level float32
	Known bool
	// NearLimitMS is how long the receiver is to query the home before each request, in
	// milliseconds. It is 0 if the team is not near its limit.
	NearLimitMS uint32
	// QueryID identifies the query that is answered. If it is not Granted, RetryAfterMS is the
	// time after which a request may be granted, in milliseconds.
	QueryID      uint32
	Granted      bool
	RetryAfterMS uint32
}

// TeamNotice tells all hosts that a team is near its limit.
type TeamNotice struct {
	Team  string
	Level float32
	// NearLimitMS has the same meaning as in TeamLevel.
	NearLimitMS uint32
	// Forward asks the receiver to forward the notice within its data centre.
	Forward bool
}
