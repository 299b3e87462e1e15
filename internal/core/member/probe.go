package member

import (
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Tick sends the probes that are due and judges those that went unanswered.
func (n *Node) Tick(now time.Time) {
	n.judgeProbes(now)
	n.burySuspects(now)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.cfg.ProbeInterval)
		if host, ok := n.nextTarget(); ok {
			n.probe(now, host)
		}
	}
	if !now.Before(n.nextDead) {
		n.probeDead(now)
	}
}

// nextTarget goes round the near hosts in random order, so that each is
// probed once a round; now and then it takes a far one.
func (n *Node) nextTarget() (string, bool) {
	near, far := n.Live()
	if len(far) > 0 && (len(near) == 0 || n.rng.Float64() < n.cfg.FarShare) {
		dc := far[n.rng.IntN(len(far))]
		return dc[n.rng.IntN(len(dc))], true
	}
	for {
		if len(n.ring) == 0 {
			if len(near) == 0 {
				return "", false
			}
			n.ring = append(n.ring[:0], near...)
			n.rng.Shuffle(len(n.ring), func(i, j int) { n.ring[i], n.ring[j] = n.ring[j], n.ring[i] })
		}
		host := n.ring[0]
		n.ring = n.ring[1:]
		if m, ok := n.members[host]; ok && m.Status != Dead {
			return host, true
		}
	}
}

func (n *Node) probe(now time.Time, host string) {
	m := n.members[host]
	n.seq++
	n.probes[n.seq] = &probe{host: host, sent: now}
	n.send(m.PeerAddr, &msg.Packet{Kind: msg.PacketPing, Seq: n.seq, ProbedHost: host})
}

// recentlyDead is how long a host held for dead is probed often: most come back
// soon after a restart, and one that starts while the platform is away is found
// only by its old peers.
const recentlyDead = time.Minute

// probeDead pings one host that is held for dead. An answer at the version of
// the claim is no proof of life; the host learns of the claim and refutes it,
// and answers the next ping with a newer version. So a host that was heard of
// late is asked again soon.
func (n *Node) probeDead(now time.Time) {
	// Jitter keeps two sides of a healed split from meeting in step.
	n.nextDead = now.Add(n.cfg.DeadProbe/2 + time.Duration(n.rng.Int64N(int64(n.cfg.DeadProbe))))
	var dead, heard []string
	for _, m := range n.members {
		if m.Status != Dead || m.PeerAddr == "" {
			continue
		}
		dead = append(dead, m.Host)
		if now.Sub(m.LastHeard) < 2*n.cfg.DeadProbe || now.Sub(m.Since) < recentlyDead {
			heard = append(heard, m.Host)
		}
	}
	if len(heard) > 0 {
		n.nextDead = now.Add(n.cfg.ProbeInterval)
		dead = heard
	}
	if len(dead) == 0 {
		return
	}
	sort.Strings(dead)
	host := dead[n.rng.IntN(len(dead))]
	m := n.members[host]
	n.seq++
	p := &msg.Packet{Kind: msg.PacketPing, Seq: n.seq, ProbedHost: host}
	p.Claims = append(p.Claims, msg.MemberClaim{Host: host, Version: m.Version, Status: uint8(Dead)})
	n.send(m.PeerAddr, p)
}

// judgeProbes asks helpers after ProbeTimeout and accuses after ProbeInterval.
func (n *Node) judgeProbes(now time.Time) {
	for seq, p := range n.probes {
		age := now.Sub(p.sent)
		if age >= n.cfg.ProbeTimeout && !p.indirect {
			p.indirect = true
			n.askHelpers(seq, p)
		}
		if age >= max(n.cfg.ProbeInterval, 3*n.cfg.ProbeTimeout) {
			delete(n.probes, seq)
			n.probeFailed(now, p.host)
		}
	}
	for seq, r := range n.relays {
		if now.Sub(r.sent) > 2*n.cfg.ProbeInterval {
			delete(n.relays, seq)
		}
	}
}

func (n *Node) askHelpers(seq uint64, p *probe) {
	m, ok := n.members[p.host]
	near, _ := n.Live()
	if !ok || len(near) == 0 {
		return
	}
	asked := 0
	for _, i := range n.rng.Perm(len(near)) {
		helper := n.members[near[i]]
		if helper.Host == p.host || helper.Status != Alive {
			continue
		}
		n.send(helper.PeerAddr, &msg.Packet{Kind: msg.PacketPingRequest, Seq: seq, ProbedHost: p.host, ProbedAddr: m.PeerAddr})
		if asked++; asked == n.cfg.Helpers {
			return
		}
	}
}

// probeFailed accuses a host, unless the fault is likely this host's own: a
// host that hears nobody accuses nobody.
func (n *Node) probeFailed(now time.Time, host string) {
	n.failed++
	m, ok := n.members[host]
	if !ok || m.Status != Alive || n.Isolated() {
		return
	}
	n.accuse(now, m, Suspect)
}

func (n *Node) accuse(now time.Time, m *Member, s Status) {
	n.setStatus(now, m, s)
	n.spread(msg.MemberClaim{Host: m.Host, Version: m.Version, Status: uint8(s)})
}

// burySuspects holds suspects for dead that did not refute in time.
func (n *Node) burySuspects(now time.Time) {
	if n.Isolated() {
		return
	}
	for _, m := range n.suspects {
		if now.Sub(m.Since) >= n.cfg.SuspicionTimeout {
			n.accuse(now, m, Dead)
		}
	}
}

// spreadFactor is how many packets per doubling of the fleet carry a claim.
const spreadFactor = 3

func (n *Node) spread(note msg.MemberClaim) {
	left := spreadFactor
	for size := len(n.members); size > 0; size /= 2 {
		left += spreadFactor
	}
	n.notes[note.Host] = &rumor{note: note, left: left}
}

// takeNotes picks the claims for one packet: first what is said of the target
// itself, then those least spread.
func (n *Node) takeNotes(target string) []msg.MemberClaim {
	if len(n.notes) == 0 {
		return nil
	}
	order := make([]*rumor, 0, len(n.notes))
	for _, r := range n.notes {
		order = append(order, r)
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if (a.note.Host == target) != (b.note.Host == target) {
			return a.note.Host == target
		}
		if a.left != b.left {
			return a.left > b.left
		}
		return a.note.Host < b.note.Host
	})
	order = order[:min(len(order), n.cfg.ClaimsPerPacket)]
	out := make([]msg.MemberClaim, 0, len(order))
	for _, r := range order {
		out = append(out, r.note)
		if r.left--; r.left <= 0 {
			delete(n.notes, r.note.Host)
		}
	}
	return out
}

func (n *Node) send(to string, p *msg.Packet) {
	p.From, p.FromVersion, p.FromAddr = n.cfg.Host, n.version, n.peer
	p.Claims = append(p.Claims, n.takeNotes(p.ProbedHost)...)
	n.out = append(n.out, Datagram{To: to, Packet: p})
}

// Step takes one packet that came from an address.
func (n *Node) Step(now time.Time, p *msg.Packet) {
	if m, ok := n.members[p.From]; ok {
		m.LastHeard = now
		n.revive(now, m, p.FromVersion)
	}
	for _, note := range p.Claims {
		n.stepNote(now, note)
	}
	switch p.Kind {
	case msg.PacketPing:
		n.stepPing(p)
	case msg.PacketPingRequest:
		n.stepPingRequest(now, p)
	case msg.PacketAck:
		n.stepAck(now, p)
	}
}

// stepPing answers, and tells a sender that is held for dead or suspect what
// is claimed of it, so that it can refute.
func (n *Node) stepPing(p *msg.Packet) {
	if p.ProbedHost != n.cfg.Host {
		return
	}
	ack := &msg.Packet{Kind: msg.PacketAck, Seq: p.Seq, ProbedHost: p.From}
	if m, ok := n.members[p.From]; ok && m.Status != Alive {
		ack.Claims = append(ack.Claims, msg.MemberClaim{Host: m.Host, Version: m.Version, Status: uint8(m.Status)})
	}
	n.send(p.FromAddr, ack)
}

func (n *Node) stepPingRequest(now time.Time, p *msg.Packet) {
	n.seq++
	n.relays[n.seq] = relay{peer: p.FromAddr, seq: p.Seq, sent: now}
	n.send(p.ProbedAddr, &msg.Packet{Kind: msg.PacketPing, Seq: n.seq, ProbedHost: p.ProbedHost})
}

func (n *Node) stepAck(now time.Time, p *msg.Packet) {
	if r, ok := n.relays[p.Seq]; ok {
		delete(n.relays, p.Seq)
		n.send(r.peer, &msg.Packet{Kind: msg.PacketAck, Seq: r.seq})
		return
	}
	probe, ok := n.probes[p.Seq]
	if !ok {
		return
	}
	delete(n.probes, p.Seq)
	n.failed = 0
	// An answer in time takes this host's own suspicion back where nothing
	// newer is claimed; others' suspicions need the accused's refutation.
	if m, ok := n.members[probe.host]; ok && m.Status == Suspect && p.From == probe.host {
		n.setStatus(now, m, Alive)
		delete(n.notes, m.Host)
	}
}

// stepNote takes a claim about one version of a host.
func (n *Node) stepNote(now time.Time, note msg.MemberClaim) {
	status := Status(note.Status)
	if status != Suspect && status != Dead {
		return
	}
	if note.Host == n.cfg.Host {
		if note.Version >= n.version {
			n.accused = true
		}
		return
	}
	m, ok := n.members[note.Host]
	if !ok || note.Version < m.Version || status <= m.Status {
		return
	}
	n.accuse(now, m, status)
}
