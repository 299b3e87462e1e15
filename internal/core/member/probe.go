package member

import (
	"sort"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Tick sends the probes that are due and handles those that timed out.
func (n *Node) Tick(now time.Time) {
	n.checkProbes(now)
	n.expireSuspects(now)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.cfg.ProbeInterval)
		if host, ok := n.nextProbeHost(); ok {
			n.probe(now, host)
		}
	}
	if !now.Before(n.nextDeadProbe) {
		n.probeDead(now)
	}
}

// nextProbeHost iterates over the hosts of this data centre in random order, so that
// each is probed once per round. Occasionally it returns a host of another data centre.
func (n *Node) nextProbeHost() (string, bool) {
	local, remote := n.Live()
	if len(remote) > 0 && (len(local) == 0 || n.rng.Float64() < n.cfg.RemoteProbeShare) {
		dc := remote[n.rng.IntN(len(remote))]
		return dc[n.rng.IntN(len(dc))], true
	}
	for {
		if len(n.probeRing) == 0 {
			if len(local) == 0 {
				return "", false
			}
			n.probeRing = append(n.probeRing[:0], local...)
			n.rng.Shuffle(len(n.probeRing), func(i, j int) { n.probeRing[i], n.probeRing[j] = n.probeRing[j], n.probeRing[i] })
		}
		host := n.probeRing[0]
		n.probeRing = n.probeRing[1:]
		if m, ok := n.members[host]; ok && m.Status != Dead {
			return host, true
		}
	}
}

func (n *Node) probe(now time.Time, host string) {
	m := n.members[host]
	n.seq++
	n.probes[n.seq] = &probe{host: host, sent: now}
	n.send(m.PeerAddr, &msg.MemberPacket{Kind: msg.PacketPing, Seq: n.seq, ProbedHost: host})
}

// recentDeathPeriod is how long a dead host is probed frequently: most hosts return soon
// after a restart, and one that starts while the platform is unreachable is found only by
// its former peers.
const recentDeathPeriod = time.Minute

// probeDead pings one host that is considered dead. The ping carries the claim that the
// host is dead. If the host is alive, its answer still has the version that the claim
// names, and does not refute the claim. The host then publishes a greater version, and its
// answer to the next ping, with that version, marks it alive. Therefore, while there are
// dead hosts that were heard from or declared dead recently, one of them is probed every
// ProbeInterval.
func (n *Node) probeDead(now time.Time) {
	// Jitter keeps the two sides of a healed partition from probing in step.
	n.nextDeadProbe = now.Add(n.cfg.DeadProbeInterval/2 + time.Duration(n.rng.Int64N(int64(n.cfg.DeadProbeInterval))))
	var dead, recent []string
	for _, m := range n.members {
		if m.Status != Dead || m.PeerAddr == "" {
			continue
		}
		dead = append(dead, m.Host)
		if now.Sub(m.LastHeard) < 2*n.cfg.DeadProbeInterval || now.Sub(m.Since) < recentDeathPeriod {
			recent = append(recent, m.Host)
		}
	}
	if len(recent) > 0 {
		n.nextDeadProbe = now.Add(n.cfg.ProbeInterval)
		dead = recent
	}
	if len(dead) == 0 {
		return
	}
	sort.Strings(dead)
	host := dead[n.rng.IntN(len(dead))]
	m := n.members[host]
	n.seq++
	p := &msg.MemberPacket{Kind: msg.PacketPing, Seq: n.seq, ProbedHost: host}
	p.Claims = append(p.Claims, msg.MemberClaim{Host: host, Version: m.Version, Status: uint8(Dead)})
	n.send(m.PeerAddr, p)
}

// checkProbes sends ping requests after ProbeTimeout, and fails the probe after
// ProbeInterval or three times ProbeTimeout, whichever is longer.
func (n *Node) checkProbes(now time.Time) {
	for seq, p := range n.probes {
		age := now.Sub(p.sent)
		if age >= n.cfg.ProbeTimeout && !p.indirect {
			p.indirect = true
			n.sendPingRequests(seq, p)
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

func (n *Node) sendPingRequests(seq uint64, p *probe) {
	m, ok := n.members[p.host]
	local, _ := n.Live()
	if !ok || len(local) == 0 {
		return
	}
	sent := 0
	for _, i := range n.rng.Perm(len(local)) {
		helper := n.members[local[i]]
		if helper.Host == p.host || helper.Status != Alive {
			continue
		}
		n.send(helper.PeerAddr, &msg.MemberPacket{Kind: msg.PacketPingRequest, Seq: seq, ProbedHost: p.host, ProbedAddr: m.PeerAddr})
		if sent++; sent == n.cfg.IndirectProbes {
			return
		}
	}
}

// probeFailed marks a host as suspect, unless the fault is probably local: from the
// isolationThreshold-th consecutive failed probe on, a failed probe marks no host.
func (n *Node) probeFailed(now time.Time, host string) {
	n.consecutiveFailures++
	m, ok := n.members[host]
	if !ok || m.Status != Alive || n.Isolated() {
		return
	}
	n.declare(now, m, Suspect)
}

func (n *Node) declare(now time.Time, m *Member, s Status) {
	n.setStatus(now, m, s)
	n.addRumor(msg.MemberClaim{Host: m.Host, Version: m.Version, Status: uint8(s)})
}

// expireSuspects declares suspects dead that did not refute in time.
func (n *Node) expireSuspects(now time.Time) {
	if n.Isolated() {
		return
	}
	for _, m := range n.suspects {
		if now.Sub(m.Since) >= n.cfg.SuspicionTimeout {
			n.declare(now, m, Dead)
		}
	}
}

// retransmitFactor is the number of packets, per doubling of the fleet size, that carry a
// claim.
const retransmitFactor = 3

func (n *Node) addRumor(claim msg.MemberClaim) {
	sends := retransmitFactor
	for size := len(n.members); size > 0; size /= 2 {
		sends += retransmitFactor
	}
	n.rumors[claim.Host] = &rumor{claim: claim, sendsLeft: sends}
}

// selectClaims picks the claims for one packet: first the one about the given host, which
// lets the probed host refute it, then those with the most sends left.
func (n *Node) selectClaims(host string) []msg.MemberClaim {
	if len(n.rumors) == 0 {
		return nil
	}
	byPriority := make([]*rumor, 0, len(n.rumors))
	for _, r := range n.rumors {
		byPriority = append(byPriority, r)
	}
	sort.Slice(byPriority, func(i, j int) bool {
		a, b := byPriority[i], byPriority[j]
		if (a.claim.Host == host) != (b.claim.Host == host) {
			return a.claim.Host == host
		}
		if a.sendsLeft != b.sendsLeft {
			return a.sendsLeft > b.sendsLeft
		}
		return a.claim.Host < b.claim.Host
	})
	byPriority = byPriority[:min(len(byPriority), n.cfg.ClaimsPerPacket)]
	out := make([]msg.MemberClaim, 0, len(byPriority))
	for _, r := range byPriority {
		out = append(out, r.claim)
		if r.sendsLeft--; r.sendsLeft <= 0 {
			delete(n.rumors, r.claim.Host)
		}
	}
	return out
}

func (n *Node) send(to string, p *msg.MemberPacket) {
	p.From, p.FromVersion, p.FromAddr = n.cfg.Host, n.version, n.peerAddr
	p.Claims = append(p.Claims, n.selectClaims(p.ProbedHost)...)
	n.out = append(n.out, Datagram{To: to, Packet: p})
}

// Step processes a packet.
func (n *Node) Step(now time.Time, p *msg.MemberPacket) {
	if m, ok := n.members[p.From]; ok {
		m.LastHeard = now
		n.confirmAlive(now, m, p.FromVersion)
	}
	for _, claim := range p.Claims {
		n.handleClaim(now, claim)
	}
	switch p.Kind {
	case msg.PacketPing:
		n.handlePing(p)
	case msg.PacketPingRequest:
		n.handlePingRequest(now, p)
	case msg.PacketAck:
		n.handleAck(now, p)
	}
}

// handlePing answers a ping. If this host considers the sender suspect or dead, the answer
// carries that claim, so that the sender can refute it.
func (n *Node) handlePing(p *msg.MemberPacket) {
	if p.ProbedHost != n.cfg.Host {
		return
	}
	ack := &msg.MemberPacket{Kind: msg.PacketAck, Seq: p.Seq, ProbedHost: p.From}
	if m, ok := n.members[p.From]; ok && m.Status != Alive {
		ack.Claims = append(ack.Claims, msg.MemberClaim{Host: m.Host, Version: m.Version, Status: uint8(m.Status)})
	}
	n.send(p.FromAddr, ack)
}

func (n *Node) handlePingRequest(now time.Time, p *msg.MemberPacket) {
	n.seq++
	n.relays[n.seq] = relay{requesterAddr: p.FromAddr, seq: p.Seq, sent: now}
	n.send(p.ProbedAddr, &msg.MemberPacket{Kind: msg.PacketPing, Seq: n.seq, ProbedHost: p.ProbedHost})
}

func (n *Node) handleAck(now time.Time, p *msg.MemberPacket) {
	if r, ok := n.relays[p.Seq]; ok {
		delete(n.relays, p.Seq)
		n.send(r.requesterAddr, &msg.MemberPacket{Kind: msg.PacketAck, Seq: r.seq})
		return
	}
	sentProbe, ok := n.probes[p.Seq]
	if !ok {
		return
	}
	delete(n.probes, p.Seq)
	n.consecutiveFailures = 0
	// A direct answer marks a suspect alive at this host only, whichever host the suspicion
	// came from, and this host stops disseminating the claim. Other hosts that suspect it
	// need its refutation or a direct answer of their own.
	if m, ok := n.members[sentProbe.host]; ok && m.Status == Suspect && p.From == sentProbe.host {
		n.setStatus(now, m, Alive)
		delete(n.rumors, m.Host)
	}
}

// handleClaim processes a claim about one version of a host.
func (n *Node) handleClaim(now time.Time, claim msg.MemberClaim) {
	status := Status(claim.Status)
	if status != Suspect && status != Dead {
		return
	}
	if claim.Host == n.cfg.Host {
		if claim.Version >= n.version {
			n.suspected = true
		}
		return
	}
	m, ok := n.members[claim.Host]
	if !ok || claim.Version < m.Version || status <= m.Status {
		return
	}
	n.declare(now, m, status)
}
