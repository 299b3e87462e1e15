package record

// Host is written once by a host that joins, so that others find it.
type Host struct {
	// DC is the host's data centre.
	DC string `json:"dc"`
	// Peer is the address its peers reach it at, IP:port for TCP and UDP.
	Peer string `json:"peer"`
	// Admin is the address of its admin endpoints, IP:port.
	Admin string `json:"admin"`
	// Incarnation is the host's start, in Unix milliseconds.
	Incarnation uint64 `json:"incarnation"`
}

func (h *Host) validate(f *faults) {
	if h.DC == "" {
		f.add("dc", "is missing", "hosts write this record themselves; delete it and restart the host")
	}
	if h.Peer == "" {
		f.add("peer", "is missing", "hosts write this record themselves; delete it and restart the host")
	}
}

// ShardMap says who owns the idempotency keys of one service. It changes only
// by conditional update, when ownership or the guards move.
type ShardMap struct {
	// Guards are the hosts whose promises make an owner's authority.
	Guards []string `json:"guards"`
	// Prev are the guards before the last change. Until every shard's owner
	// holds under both, majorities of both are needed.
	Prev []string `json:"prev,omitempty"`
	// Shards has one entry for every shard, in order.
	Shards []Shard `json:"shards"`
	// Nonce is the writer's mark, to tell its own write after a lost answer.
	Nonce string `json:"nonce"`
}

// Shard is the ownership of one shard.
type Shard struct {
	// Owner is the host that may claim keys, and Life its process's start, in
	// Unix milliseconds: a process that starts anew has lost the table.
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"life"`
	// Epoch rises by one with every change of owner or guards.
	Epoch uint64 `json:"epoch"`
	// Held is the last epoch at which the owner is known to have had
	// authority under both Guards and Prev.
	Held uint64 `json:"held,omitempty"`
}

func (m *ShardMap) validate(f *faults) {
	if len(m.Shards) == 0 {
		f.add("shards", "is empty", "the system writes this record itself; delete it")
	}
	if len(m.Guards) == 0 {
		f.add("guards", "is empty", "the system writes this record itself; delete it")
	}
}

// Crasher is a request that has ended the instances that ran it, named by its print. The
// system writes it once the request is stopped, so that a loss of all processes does
// not forget it, and removes it when it is forgotten. An operator who deletes it lets
// the request run again.
type Crasher struct {
	// Request is the request as it last ended an instance: method, host and path.
	Request string `json:"request"`
	// Ends are the ends of instances that it explains.
	Ends []InstanceEnd `json:"ends"`
}

// InstanceEnd is the end of one start of an instance.
type InstanceEnd struct {
	// ID names the start in the fleet.
	ID string `json:"id"`
	// Service and Version are those of the instance.
	Service string `json:"service"`
	Version string `json:"version"`
	// Host is the host that noticed it.
	Host string `json:"host"`
	// AtMS is when it was noticed, in Unix milliseconds.
	AtMS int64 `json:"atMS"`
}

func (c *Crasher) validate(f *faults) {
	if len(c.Ends) == 0 {
		f.add("ends", "is empty", "the system writes this record itself; delete it")
	}
	for _, e := range c.Ends {
		if e.ID == "" {
			f.add("ends", "has one without id", "the system writes this record itself; delete it")
		}
	}
}

// Status is one data centre's summary of what is in force, written by one of
// its hosts.
type Status struct {
	// DC is the data centre.
	DC string `json:"dc"`
	// Writer is the host that wrote the summary.
	Writer string `json:"writer"`
	// AtMS is when it was written, in Unix milliseconds of the writer.
	AtMS int64 `json:"atMS"`
	// Hosts counts the live hosts of the data centre.
	Hosts int `json:"hosts"`
	// InForce counts hosts by the root hash of the set they have in force.
	InForce []InForce `json:"inForce"`
	// Rejected lists records that are not in force as written, and why.
	Rejected []Rejected `json:"rejected,omitempty"`
}

// InForce is how many hosts have one set in force.
type InForce struct {
	Revision int64    `json:"revision"`
	Root     string   `json:"root"`
	Hosts    int      `json:"hosts"`
	Behind   []string `json:"behind,omitempty"`
}

// Rejected is one record that was refused, with the version still in force.
type Rejected struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	InForce int64  `json:"inForce"`
	Reason  string `json:"reason"`
}

func (s *Status) validate(f *faults) {
	if s.DC == "" {
		f.add("dc", "is missing", "the system writes this record itself; delete it")
	}
}
