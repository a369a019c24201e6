// Package member decides which VMs are alive, from heartbeats that VMs forward to each
// other, and to which VMs to forward them. It does no I/O, reads no clock and takes its
// random source as an argument.
//
// It combines gossip-style failure detection (van Renesse, Minsky and Hayden, 1998) with
// the incarnations and the dissemination of changes of SWIM (Das, Gupta and Motivala,
// 2002). Heartbeats arrive directly or through any other VM, so that one broken link makes
// no VM count as dead. VMs of a failure domain detect each other's failures; VMs of other
// domains receive a failure as a state change.
package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Defaults of a List.
const (
	defaultFanout       = 2
	defaultBridges      = 2
	defaultDeadAfter    = 8 * time.Second
	defaultDiscardAfter = time.Minute
	// remoteFactor multiplies the silence allowed for a VM of another domain. Its
	// heartbeats share the batches with those of all other domains, and VMs of its own
	// domain announce its failure.
	remoteFactor = 30
	// urgentFactor times log2 of the fleet size is how often a change is forwarded with
	// priority.
	urgentFactor = 3
)

// List is a VM's membership list of the fleet. Name and Domain must be set. It is not safe
// for concurrent use.
type List struct {
	Name   string
	Domain string
	// Fanout is the number of VMs of the own domain that get each round's heartbeats.
	Fanout int
	// Bridges is the number of VMs of a domain that forward heartbeats to other domains,
	// and the number of VMs that each of them forwards to.
	Bridges int
	// DeadAfter is the time without a heartbeat after which a VM of the own domain counts
	// as dead.
	DeadAfter time.Duration
	// DiscardAfter is how long a dead VM that the platform does not list is kept.
	DiscardAfter time.Duration

	self    wire.Heartbeat
	entries map[string]*entry
	round   int
}

// entry is the state of one other VM.
type entry struct {
	heartbeat wire.Heartbeat
	// lastHeartbeatAt is when the heartbeat's sequence last increased.
	lastHeartbeatAt time.Time
	// urgentSends is how many more times the heartbeat is forwarded with priority.
	urgentSends int
	// sentRound is the round in which the heartbeat was last forwarded.
	sentRound      int
	inPlatformList bool
}

func (l *List) fanout() int  { return orDefault(l.Fanout, defaultFanout) }
func (l *List) bridges() int { return orDefault(l.Bridges, defaultBridges) }

func orDefault[T int | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// BeginRound starts a round. It increments the sequence of the VM's own heartbeat and marks
// VMs that have been silent for too long as dead.
func (l *List) BeginRound(now time.Time, self wire.Heartbeat) {
	self.Incarnation = max(self.Incarnation, l.self.Incarnation)
	self.Sequence = l.self.Sequence + 1
	l.self = self
	l.round++
	for _, e := range l.entries {
		l.checkSilence(now, e)
	}
}

// checkSilence marks a VM of the own domain as dead when it has been silent for too long.
func (l *List) checkSilence(now time.Time, e *entry) {
	if e.heartbeat.State == wire.HeartbeatStateDead || e.heartbeat.FailureDomain != l.Domain {
		return
	}
	if now.Sub(e.lastHeartbeatAt) > l.maxSilence(e) {
		e.heartbeat.State = wire.HeartbeatStateDead
		e.urgentSends = l.urgentSendCount()
	}
}

func (l *List) maxSilence(e *entry) time.Duration {
	silence := orDefault(l.DeadAfter, defaultDeadAfter)
	if e.heartbeat.FailureDomain != l.Domain {
		silence *= remoteFactor
	}
	return silence
}

func (l *List) urgentSendCount() int {
	return urgentFactor * int(math.Ceil(math.Log2(float64(len(l.entries)+2))))
}

// Merge applies heartbeats that another VM forwarded.
func (l *List) Merge(now time.Time, heartbeats []wire.Heartbeat) {
	for _, h := range heartbeats {
		if h.Node == l.Name {
			l.refute(h)
			continue
		}
		l.mergeOne(now, h)
	}
}

// refute answers a report of the VM's own death with a higher incarnation. A restarted VM
// does the same on a report about its earlier run.
func (l *List) refute(report wire.Heartbeat) {
	if report.State == wire.HeartbeatStateDead && report.Incarnation >= l.self.Incarnation {
		l.self.Incarnation = report.Incarnation + 1
	}
}

func (l *List) mergeOne(now time.Time, h wire.Heartbeat) {
	e := l.entries[h.Node]
	if e == nil {
		l.add(now, h)
		return
	}
	switch {
	case h.Incarnation > e.heartbeat.Incarnation:
		e.urgentSends = l.urgentSendCount()
	case h.Incarnation < e.heartbeat.Incarnation || e.heartbeat.State == wire.HeartbeatStateDead:
		// The heartbeat is outdated. Only a higher incarnation reverts a death: a late copy
		// of an earlier heartbeat must not make the VM alive again.
		return
	case h.State == wire.HeartbeatStateDead:
		e.urgentSends = l.urgentSendCount()
	case h.Sequence <= e.heartbeat.Sequence:
		return
	case h.State != e.heartbeat.State:
		e.urgentSends = l.urgentSendCount()
	}
	e.heartbeat = h
	if h.State != wire.HeartbeatStateDead {
		e.lastHeartbeatAt = now
	}
}

func (l *List) add(now time.Time, h wire.Heartbeat) {
	if l.entries == nil {
		l.entries = make(map[string]*entry)
	}
	e := &entry{heartbeat: h, lastHeartbeatAt: now}
	l.entries[h.Node] = e
	e.urgentSends = l.urgentSendCount()
}

// MergePlatformList applies the platform's list, which lags. It adds unknown VMs as gossip
// targets and discards dead VMs that are no longer listed.
func (l *List) MergePlatformList(now time.Time, vms []wire.VM) {
	for _, e := range l.entries {
		e.inPlatformList = false
	}
	for _, vm := range vms {
		if vm.Name == l.Name {
			continue
		}
		e := l.entries[vm.Name]
		if e == nil {
			l.add(now, wire.Heartbeat{
				Node: vm.Name, FailureDomain: vm.FailureDomain, PeerAddress: vm.PeerAddress, State: wire.HeartbeatStateAlive,
			})
			e = l.entries[vm.Name]
			e.urgentSends = 0
		}
		// A VM that was replaced under the same name has another address. Its own heartbeat
		// announces the address with a higher incarnation.
		if e.heartbeat.State == wire.HeartbeatStateDead || e.heartbeat.Incarnation == 0 {
			e.heartbeat.PeerAddress = vm.PeerAddress
		}
		e.inPlatformList = true
	}
	for name, e := range l.entries {
		if !e.inPlatformList && now.Sub(e.lastHeartbeatAt) > l.maxSilence(e)+orDefault(l.DiscardAfter, defaultDiscardAfter) {
			delete(l.entries, name)
		}
	}
}

// Alive reports whether a VM counts as alive, which includes a leaving VM.
func (l *List) Alive(now time.Time, name string) bool {
	if name == l.Name {
		return true
	}
	e := l.entries[name]
	return e != nil && e.heartbeat.State != wire.HeartbeatStateDead && now.Sub(e.lastHeartbeatAt) <= l.maxSilence(e) && e.heartbeat.Incarnation > 0
}

// ActiveVMs returns the VMs, including this one, that are alive and not leaving, sorted by
// name. With a domain it returns only the VMs of that domain.
func (l *List) ActiveVMs(now time.Time, domain string) []string {
	var names []string
	if l.self.State != wire.HeartbeatStateLeaving && (domain == "" || domain == l.Domain) {
		names = append(names, l.Name)
	}
	for name, e := range l.entries {
		if l.Alive(now, name) && e.heartbeat.State == wire.HeartbeatStateAlive && (domain == "" || e.heartbeat.FailureDomain == domain) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Heartbeats returns the last heartbeats of the other VMs, sorted by name.
func (l *List) Heartbeats() []wire.Heartbeat {
	var heartbeats []wire.Heartbeat
	for _, e := range l.entries {
		heartbeats = append(heartbeats, e.heartbeat)
	}
	slices.SortFunc(heartbeats, func(a, b wire.Heartbeat) int { return strings.Compare(a.Node, b.Node) })
	return heartbeats
}

// Elected reports whether this VM is among the count VMs of its domain that do a job. The
// active VMs agree on them by rendezvous hashing, without a call.
func (l *List) Elected(now time.Time, job string, count int) bool {
	return slices.Contains(rendezvousTop(l.ActiveVMs(now, l.Domain), job, count), l.Name)
}

func rendezvousTop(names []string, job string, count int) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		hashA, hashB := xxhash.Sum64String(job+"/"+a), xxhash.Sum64String(job+"/"+b)
		switch {
		case hashA > hashB:
			return -1
		case hashA < hashB:
			return 1
		}
		return 0
	})
	return ranked[:min(count, len(ranked))]
}

// GossipTargets returns the addresses to which this round's heartbeats are forwarded: some
// VMs of the domain and, when this VM is a bridge, some of other domains. The addresses
// include one VM of the domain, and for a bridge one of another domain, that is dead or has
// sent no heartbeat yet, so that two partitions which count each other as dead reconnect.
func (l *List) GossipTargets(now time.Time, rng *rand.Rand) []string {
	targets, ownSilent, otherSilent := l.targets(now, rng, l.fanout())
	targets = append(targets, sample(rng, ownSilent, 1)...)
	// Only bridges retry silent VMs of other domains.
	if l.Elected(now, "bridge", l.bridges()) {
		targets = append(targets, sample(rng, otherSilent, 1)...)
	}
	return targets
}

// urgentFanout is the number of VMs of the domain to which each VM that receives a change
// forwards it at once. With five, about one VM in a hundred is missed and receives the
// change in the next rounds.
const urgentFanout = 5

// UrgentTargets returns the addresses to which a change is forwarded at once.
func (l *List) UrgentTargets(now time.Time, rng *rand.Rand) []string {
	targets, _, _ := l.targets(now, rng, urgentFanout)
	return targets
}

// targets samples the alive VMs, and returns all other VMs of the own domain and of other
// domains.
func (l *List) targets(now time.Time, rng *rand.Rand, fanout int) (targets, ownSilent, otherSilent []string) {
	var ownAlive, otherAlive []string
	for name, e := range l.entries {
		alive, sameDomain := l.Alive(now, name), e.heartbeat.FailureDomain == l.Domain
		switch {
		case alive && sameDomain:
			ownAlive = append(ownAlive, e.heartbeat.PeerAddress)
		case alive:
			otherAlive = append(otherAlive, e.heartbeat.PeerAddress)
		case sameDomain:
			ownSilent = append(ownSilent, e.heartbeat.PeerAddress)
		default:
			otherSilent = append(otherSilent, e.heartbeat.PeerAddress)
		}
	}
	targets = sample(rng, l.neighbors(ownAlive, max(fanout, neighborFactor*l.fanout())), fanout)
	if l.Elected(now, "bridge", l.bridges()) {
		targets = append(targets, sample(rng, l.neighbors(otherAlive, neighborFactor*l.bridges()), l.bridges())...)
	}
	return targets, ownSilent, otherSilent
}

// neighborFactor times the fanout is the number of VMs to which a VM forwards heartbeats
// for neighborRounds rounds. It is small, so that a VM keeps few links. The neighbors
// change after that, so that no part of the fleet stays disconnected.
const (
	neighborFactor = 2
	neighborRounds = 60
)

// neighbors returns the addresses to which this VM currently keeps links.
func (l *List) neighbors(from []string, n int) []string {
	job := l.Name + "/" + strconv.Itoa(l.round/neighborRounds)
	return rendezvousTop(from, job, n)
}

func sample(rng *rand.Rand, from []string, n int) []string {
	slices.Sort(from)
	rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

// Batch returns the heartbeats to forward within a budget of bytes: the VM's own, then
// changes, then the others by the time since they were last forwarded, with a higher weight
// for the own domain.
func (l *List) Batch(budget int, size func(wire.Heartbeat) int) []wire.Heartbeat {
	batch := []wire.Heartbeat{l.self}
	budget -= size(l.self)
	ranked := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		// A VM known only from the platform's list has sent no heartbeat yet.
		if e.heartbeat.Incarnation > 0 {
			ranked = append(ranked, e)
		}
	}
	slices.SortFunc(ranked, func(a, b *entry) int { return l.comparePriority(a, b) })
	for _, e := range ranked {
		n := size(e.heartbeat)
		if n > budget {
			continue
		}
		budget -= n
		batch = append(batch, e.heartbeat)
		e.sentRound = l.round
		e.urgentSends = max(e.urgentSends-1, 0)
	}
	return batch
}

func (l *List) comparePriority(a, b *entry) int {
	if (a.urgentSends > 0) != (b.urgentSends > 0) {
		return orderFirst(a.urgentSends > 0)
	}
	if ageA, ageB := l.weightedAge(a), l.weightedAge(b); ageA != ageB {
		return orderFirst(ageA > ageB)
	}
	return strings.Compare(a.heartbeat.Node, b.heartbeat.Node)
}

// ownDomainWeight is how much more often heartbeats of the own domain are forwarded.
const ownDomainWeight = 32

// weightedAge returns the rounds since a heartbeat was last forwarded, times the domain's
// weight.
func (l *List) weightedAge(e *entry) int {
	age := l.round - e.sentRound
	if e.heartbeat.FailureDomain == l.Domain {
		age *= ownDomainWeight
	}
	return age
}

func orderFirst(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}
