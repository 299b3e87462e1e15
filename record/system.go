package record

// Host is the address record of one host. The host writes it when it joins, so that other hosts
// can find it, and when it acknowledges the departure of an instance.
type Host struct {
	// DC is the name of the host's data centre.
	DC string `json:"dc"`
	// Peer is the address at which other hosts reach it, IP:port for TCP and UDP.
	Peer string `json:"peer"`
	// Admin is the address of its admin endpoints, IP:port.
	Admin string `json:"admin"`
	// Incarnation is the start time of the host's process, in Unix milliseconds.
	Incarnation uint64 `json:"incarnation"`
	// Departures are the departures of instances that the host has acknowledged in the last
	// minutes. A later process of the host, which has not received them itself, reads them here.
	Departures []Departure `json:"departures,omitempty"`
}

// Departure states that an instance has left or is leaving.
type Departure struct {
	Instance string `json:"instance"`
	// StartedMS is the start time of the instance in Unix milliseconds of its own clock, 0 if
	// unknown, and Sequence the number of the latest announcement, 0 if they are not numbered.
	StartedMS int64  `json:"startedMS,omitempty"`
	Sequence  uint64 `json:"sequence,omitempty"`
	// Gone reports that the instance has left for good.
	Gone bool `json:"gone,omitempty"`
	// AtMS is when the host acknowledged the departure, in Unix milliseconds of its clock.
	AtMS int64 `json:"atMS"`
}

func (h *Host) validate(f *fieldErrors) {
	if h.DC == "" {
		f.add("dc", "is missing", "hosts write this record themselves; delete it and restart the host")
	}
	if h.Peer == "" {
		f.add("peer", "is missing", "hosts write this record themselves; delete it and restart the host")
	}
}

// ShardMap records which hosts own the idempotency keys of one service. It is
// changed only by conditional updates, when an owner or the guards change.
type ShardMap struct {
	// Guards are the hosts that lease shards to their owners: an owner has
	// authority while it holds leases from a majority of them.
	Guards []string `json:"guards"`
	// PrevGuards are the guards before the last change. Until every shard's owner has had
	// authority under both sets, an owner needs a majority of each.
	PrevGuards []string `json:"prev,omitempty"`
	// Shards has one entry per shard, in shard order.
	Shards []Shard `json:"shards"`
	// Nonce identifies the write, so that a writer that got no response can tell
	// whether its write was stored.
	Nonce string `json:"nonce"`
}

// Shard is the ownership of one shard.
type Shard struct {
	// Owner is the host that may claim keys, and Incarnation the start time of its process
	// in Unix milliseconds: a restarted process has lost its key table.
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"life"`
	// Epoch increases by one with every change of the owner or the guards.
	Epoch uint64 `json:"epoch"`
	// HeldEpoch is the latest epoch in which the owner is known to have had authority
	// under both Guards and PrevGuards.
	HeldEpoch uint64 `json:"held,omitempty"`
}

func (m *ShardMap) validate(f *fieldErrors) {
	if len(m.Shards) == 0 {
		f.add("shards", "is empty", "the system writes this record itself; delete it")
	}
	if len(m.Guards) == 0 {
		f.add("guards", "is empty", "the system writes this record itself; delete it")
	}
}

// Crasher is a request that has crashed the instances that ran it. The name of the
// record is the fingerprint of the request (crash.Fingerprint). The system writes the record
// when it starts to refuse the request, so that the block survives a restart of all
// processes, and deletes it when the block ends. If an operator deletes it, the request
// may run again.
type Crasher struct {
	// Request is the method, host and path of the request that last crashed an instance.
	Request string `json:"request"`
	// Crashes are the crashes that are attributed to the request.
	Crashes []InstanceCrash `json:"ends"`
}

// InstanceCrash is a crash of an instance. It ends one run of the instance, which began with
// its start.
type InstanceCrash struct {
	// ID identifies that run in the whole fleet.
	ID string `json:"id"`
	// Service and Version are those of the instance.
	Service string `json:"service"`
	Version string `json:"version"`
	// Host is the host that detected the crash.
	Host string `json:"host"`
	// AtMS is when the crash was detected, in Unix milliseconds.
	AtMS int64 `json:"atMS"`
}

func (c *Crasher) validate(f *fieldErrors) {
	if len(c.Crashes) == 0 {
		f.add("ends", "is empty", "the system writes this record itself; delete it")
	}
	for _, e := range c.Crashes {
		if e.ID == "" {
			f.add("ends", "contains an entry without id", "the system writes this record itself; delete it")
		}
	}
}

// Status summarises which record sets the hosts of one data centre have in force. It
// is written by one of these hosts.
type Status struct {
	// DC is the name of the data centre.
	DC string `json:"dc"`
	// Writer is the host that wrote the summary.
	Writer string `json:"writer"`
	// AtMS is when it was written, in Unix milliseconds by the writer's clock.
	AtMS int64 `json:"atMS"`
	// Hosts is the number of live hosts in the data centre.
	Hosts int `json:"hosts"`
	// InForce groups the hosts by the record set that they have in force.
	InForce []HostsInForce `json:"inForce"`
	// Rejected lists the records that hosts have rejected, and why.
	Rejected []RejectedRecord `json:"rejected,omitempty"`
}

// HostsInForce describes the hosts that have the same record set in force.
type HostsInForce struct {
	// Revision is the greatest record version in the set, and Root its root hash in
	// hexadecimal.
	Revision int64  `json:"revision"`
	Root     string `json:"root"`
	Hosts    int    `json:"hosts"`
	// Behind lists the names of these hosts, up to a maximum number. It is empty for the
	// newest set.
	Behind []string `json:"behind,omitempty"`
}

// RejectedRecord is one rejected record.
type RejectedRecord struct {
	Key string `json:"key"`
	// Version is the rejected version, and InForce the version still in force, or 0 if
	// there is none.
	Version int64  `json:"version"`
	InForce int64  `json:"inForce"`
	Reason  string `json:"reason"`
}

func (s *Status) validate(f *fieldErrors) {
	if s.DC == "" {
		f.add("dc", "is missing", "the system writes this record itself; delete it")
	}
}
