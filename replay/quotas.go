package replay

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuscart/hibiscuscart/limit"
)

// QuotaMethod is a way for the VMs to keep to a team's quota together.
type QuotaMethod string

// Methods of the quota replay.
const (
	// QuotaNear takes tokens from the root only while the team is close to its quota.
	QuotaNear QuotaMethod = "near"
	// QuotaAlways takes the tokens of every request from the root.
	QuotaAlways QuotaMethod = "always"
	// QuotaEqual gives each VM an equal part and sends no messages.
	QuotaEqual QuotaMethod = "equal"
)

// QuotaPattern is a load pattern for the quota of one team: its requests arrive at random VMs, at a
// multiple of the quota that changes, while VMs are cut off, lose their controller or restart.
type QuotaPattern struct {
	VMs, Domains int
	Quota        limit.Quota
	Rules        limit.QuotaRules
	// MeanTokens is the mean size of a request. Sizes are exponentially distributed up to
	// maxSizeFactor times the mean.
	MeanTokens float64
	// CutShare is the share of the requests that arrive only in the domain that is cut off; the
	// others arrive at random VMs.
	CutShare float64
	Length   time.Duration
	// Demand is the team's demand as a multiple of its quota, from each time on.
	Demand []QuotaDemand
	// CutAt and CutUntil bound the time in which the first domain is cut off from the others.
	CutAt, CutUntil time.Duration
	// ControllerLostAt is when the controller freezes, RestartAt when all VMs restart; 0 for never.
	ControllerLostAt, RestartAt time.Duration
	// LoweredAt is when the quota falls to LoweredTo of what it was; 0 for never.
	LoweredAt time.Duration
	LoweredTo float64
}

// QuotaDemand is the demand from a time on.
type QuotaDemand struct {
	At     time.Duration
	Factor float64
}

// QuotaResult is what a quota replay let through.
type QuotaResult struct {
	// Admitted holds the time and size of each request that was sent, in order of time.
	Admitted []QuotaAdmission
	// Offered, Calls and Frames count the requests, the calls to the root with each hop, and the
	// announcements sent at once because the list of tight teams changed.
	Offered, Calls, Frames int
}

// QuotaAdmission is a request that was sent.
type QuotaAdmission struct {
	At     time.Duration
	Tokens int
}

const (
	quotaTeam     = "team"
	cutDomain     = 1
	maxSizeFactor = 5
	// linkDelay is the one-way delay of a link, lossDelay the time after which the loss of a silent
	// link is noticed, and successionDelay the time until a new controller holds the lease. callLimit
	// is the timeout of a call to the root.
	linkDelay       = 2 * time.Millisecond
	lossDelay       = 1200 * time.Millisecond
	successionDelay = 4 * time.Second
	callLimit       = 100 * time.Millisecond
	callBackoff     = 400 * time.Millisecond
	relinkDelay     = 500 * time.Millisecond
)

// quotaVM is one VM of a quota replay.
type quotaVM struct {
	quotas *limit.Quotas
	domain int
	// hub is the VM that this one is linked to, nil if there is none. reachable is cleared while the
	// link carries nothing but is not yet known to be lost.
	hub       *quotaVM
	reachable bool
	linked    []*quotaVM
	frozen    bool
	// announcing is set while an announcement is scheduled. Until backoffUntil the hub is not called.
	announcing   bool
	backoffUntil time.Duration
}

type quotaReplay struct {
	eventQueue
	pattern *QuotaPattern
	method  QuotaMethod
	rng     *rand.Rand
	vms     []*quotaVM
	// controller is the VM that holds the lease.
	controller *quotaVM
	quota      limit.Quota
	result     QuotaResult
}

// RunQuotas replays a pattern with a method. Equal seeds give equal results.
func RunQuotas(p QuotaPattern, method QuotaMethod, seed uint64) QuotaResult {
	r := &quotaReplay{pattern: &p, method: method, rng: rand.New(rand.NewPCG(seed, 1)), quota: p.Quota}
	r.quota.Team = quotaTeam
	r.start()
	r.scheduleArrival()
	interval := r.reportInterval()
	for i := range r.vms {
		phase := time.Duration(r.rng.Int64N(int64(interval)))
		r.schedulePeriodic(phase, interval, p.Length, func() { r.report(r.vms[i]) })
	}
	if p.CutUntil > 0 {
		r.scheduleAt(p.CutAt, r.cut)
		r.scheduleAt(p.CutUntil, r.heal)
	}
	if p.ControllerLostAt > 0 {
		r.scheduleAt(p.ControllerLostAt, r.loseController)
	}
	if p.RestartAt > 0 {
		r.scheduleAt(p.RestartAt, r.restart)
	}
	if p.LoweredAt > 0 {
		r.scheduleAt(p.LoweredAt, r.lower)
	}
	r.run()
	return r.result
}

// reportInterval is the interval between reports, which grows with the links of the busiest VM.
func (r *quotaReplay) reportInterval() time.Duration {
	return min(max(100*time.Millisecond, time.Duration(len(r.vms)/r.pattern.Domains)*5*time.Millisecond), 300*time.Millisecond)
}

// start builds the tree: the first VM is the controller, the first other VM of each domain its relay.
func (r *quotaReplay) start() {
	r.vms = nil
	relays := make(map[int]*quotaVM)
	for i := range r.pattern.VMs {
		v := &quotaVM{quotas: &limit.Quotas{AlwaysTight: r.method == QuotaAlways}, domain: i % r.pattern.Domains}
		v.quotas.OnTight = func() { r.announceSoon(v) }
		v.quotas.Configure(r.currentTime(), r.pattern.Rules, []limit.Quota{r.quota})
		r.vms = append(r.vms, v)
		switch {
		case i == 0:
		case relays[v.domain] == nil:
			relays[v.domain] = v
			r.link(v, r.vms[0])
		default:
			r.link(v, relays[v.domain])
		}
	}
	r.controller = r.vms[0]
	for _, v := range r.vms {
		r.updateRole(v)
	}
}

func (r *quotaReplay) link(v, hub *quotaVM) {
	v.hub, v.reachable = hub, true
	hub.linked = append(hub.linked, v)
	r.updateRole(v)
	levels := v.quotas.Levels(r.currentTime())
	for at := hub; at != nil; at = at.hub {
		r.updateRole(at)
	}
	hub.quotas.AddLevels(r.currentTime(), levels)
	r.announceSoon(hub)
}

func (r *quotaReplay) unlink(v *quotaVM) {
	hub := v.hub
	if hub == nil {
		return
	}
	v.hub = nil
	for i, other := range hub.linked {
		if other == v {
			hub.linked = append(hub.linked[:i:i], hub.linked[i+1:]...)
			break
		}
	}
	for at := hub; at != nil; at = at.hub {
		r.updateRole(at)
	}
	r.updateRole(v)
	r.announceSoon(v)
}

func (v *quotaVM) subtree() int {
	n := 1
	for _, l := range v.linked {
		n += l.subtree()
	}
	return n
}

func (r *quotaReplay) updateRole(v *quotaVM) {
	root, vms := v.hub == nil, v.subtree()
	if r.method == QuotaEqual {
		root, vms = true, 1
	}
	v.quotas.SetRole(r.currentTime(), root, float64(vms)/float64(r.pattern.VMs))
}

func (r *quotaReplay) demand() float64 {
	factor := 0.0
	for _, d := range r.pattern.Demand {
		if r.now >= d.At {
			factor = d.Factor
		}
	}
	return factor
}

// demandCheckInterval bounds the time after which the demand is looked at again.
const demandCheckInterval = 100 * time.Millisecond

// scheduleArrival schedules the next request. Arrivals have no memory, so that a request that is due
// after demandCheckInterval is drawn again then, with the demand of that time.
func (r *quotaReplay) scheduleArrival() {
	seconds := r.rng.ExpFloat64() / max(r.demand()*r.pattern.Quota.PerSecond/r.pattern.MeanTokens, 1e-9)
	arrives := seconds < demandCheckInterval.Seconds()
	wait := demandCheckInterval
	if arrives {
		wait = time.Duration(seconds * float64(time.Second))
	}
	if r.now+wait > r.pattern.Length {
		return
	}
	r.scheduleAfter(wait, func() {
		if arrives {
			r.arrive(r.arrivalVM())
		}
		r.scheduleArrival()
	})
}

// arrivalVM returns the VM of the next request. The VMs of the domain that is cut off are those whose
// number leaves its number when divided by that of the domains.
func (r *quotaReplay) arrivalVM() *quotaVM {
	i := r.rng.IntN(len(r.vms))
	if r.rng.Float64() < r.pattern.CutShare {
		i -= i % r.pattern.Domains
		i += min(cutDomain, r.pattern.Domains-1)
	}
	return r.vms[min(i, len(r.vms)-1)]
}

func (r *quotaReplay) arrive(v *quotaVM) {
	if v.frozen {
		return
	}
	r.result.Offered++
	tokens := 1 + int(min(r.rng.ExpFloat64(), maxSizeFactor)*r.pattern.MeanTokens)
	if !v.quotas.Tight(r.currentTime(), quotaTeam) {
		v.quotas.Spend(r.currentTime(), quotaTeam, tokens)
		r.admit(tokens)
		return
	}
	request := limit.QuotaRequest{Team: quotaTeam, Tokens: tokens, Patience: 150 * time.Millisecond}
	r.call(v, request, 0)
}

// call takes the tokens of a request at a VM, or asks its hub. Each hop takes linkDelay both ways. A VM
// whose hub does not answer takes them from its own part.
func (r *quotaReplay) call(at *quotaVM, q limit.QuotaRequest, delay time.Duration, path ...*quotaVM) {
	if at.hub == nil || r.method == QuotaEqual || r.now < at.backoffUntil {
		r.takeAt(at, q, delay, path)
		return
	}
	r.result.Calls++
	if !at.reachable || at.hub.frozen {
		r.scheduleAfter(callLimit, func() {
			at.backoffUntil = r.now + callBackoff
			r.takeAt(at, q, delay, path)
		})
		return
	}
	hub := at.hub
	r.scheduleAfter(linkDelay, func() { r.call(hub, q, delay+linkDelay, append(path, at)...) })
}

// takeAt takes the tokens of a request at the last VM that a call has reached. The VMs on its path
// count them.
func (r *quotaReplay) takeAt(at *quotaVM, q limit.QuotaRequest, replyDelay time.Duration, path []*quotaVM) {
	wait, granted, _ := at.quotas.Take(r.currentTime(), q)
	if !granted {
		return
	}
	for _, v := range path {
		v.quotas.Granted(r.currentTime(), q.Team, q.Tokens)
	}
	r.scheduleAfter(wait+replyDelay, func() { r.admit(q.Tokens) })
}

func (r *quotaReplay) admit(tokens int) {
	r.result.Admitted = append(r.result.Admitted, QuotaAdmission{At: r.now, Tokens: tokens})
}

// report sends a VM's uses to its hub and, from a hub, its list of tight teams.
func (r *quotaReplay) report(v *quotaVM) {
	if v.frozen || r.method == QuotaEqual {
		return
	}
	if v.hub != nil && v.reachable {
		hub, levels, spends := v.hub, v.quotas.TakeHanded(), v.quotas.TakeReport()
		r.scheduleAfter(linkDelay, func() {
			hub.quotas.AddLevels(r.currentTime(), levels)
			for _, s := range spends {
				hub.quotas.Spend(r.currentTime(), s.Team, s.Tokens)
			}
		})
	}
	r.announce(v)
}

// announceSoon sends the list of tight teams at once, because it has changed.
func (r *quotaReplay) announceSoon(v *quotaVM) {
	if v.announcing || len(v.linked) == 0 {
		return
	}
	v.announcing = true
	r.scheduleAfter(linkDelay, func() {
		v.announcing = false
		r.result.Frames += len(v.linked)
		r.announce(v)
	})
}

func (r *quotaReplay) announce(v *quotaVM) {
	if v.frozen {
		return
	}
	teams := v.quotas.TightTeams(r.currentTime())
	for _, l := range v.linked {
		if !l.reachable {
			continue
		}
		r.scheduleAfter(linkDelay, func() {
			if l.hub == v && l.quotas.Announce(teams) {
				r.announceSoon(l)
			}
		})
	}
}

// cut cuts the relay of a domain off from the controller. Both sides notice it after lossDelay.
func (r *quotaReplay) cut() {
	for _, v := range r.vms {
		if v.domain == cutDomain && v.hub == r.controller {
			v.reachable = false
			r.scheduleAfter(lossDelay, func() { r.unlink(v) })
		}
	}
}

// heal links the VMs without a hub to the controller.
func (r *quotaReplay) heal() {
	r.scheduleAfter(relinkDelay+lossDelay, func() {
		for _, v := range r.vms {
			if v.hub == nil && v != r.controller && !v.frozen && !r.controller.frozen {
				r.link(v, r.controller)
			}
		}
	})
}

// loseController freezes the controller for good. Another VM of its domain succeeds it, or any if there
// is none.
func (r *quotaReplay) loseController() {
	old := r.controller
	old.frozen = true
	r.scheduleAfter(lossDelay, func() {
		for _, v := range append([]*quotaVM(nil), old.linked...) {
			r.unlink(v)
		}
	})
	r.scheduleAfter(successionDelay, func() {
		successor := r.successor(old)
		if successor == nil {
			return
		}
		r.controller = successor
		for _, v := range r.vms {
			if v != successor && v != old && v.hub == nil && !r.cutOff(v) {
				r.link(v, successor)
			}
		}
	})
}

func (r *quotaReplay) successor(old *quotaVM) *quotaVM {
	var successor *quotaVM
	for _, v := range r.vms {
		if v != old && v.hub == nil && !r.cutOff(v) && (successor == nil || v.domain == old.domain && successor.domain != old.domain) {
			successor = v
		}
	}
	return successor
}

// cutOff reports whether a VM is in the domain that is cut off now.
func (r *quotaReplay) cutOff(v *quotaVM) bool {
	return v.domain == cutDomain && r.now >= r.pattern.CutAt && r.now < r.pattern.CutUntil
}

// startLevelShare is the share of the root's last known levels that the processes of a restarted fleet
// start with together.
const startLevelShare = 0.9

// restart replaces all VMs by new processes, which know no more than what the controller wrote down.
func (r *quotaReplay) restart() {
	levels := r.controller.quotas.CurrentLevels(r.currentTime())
	r.start()
	for _, v := range r.vms {
		for _, l := range levels {
			part := startLevelShare / float64(len(r.vms)) * float64(max(l.Tokens, 0))
			v.quotas.AddLevels(r.currentTime(), []limit.Spend{{Team: l.Team, Tokens: int(part)}})
		}
	}
}

// lower lowers the quota at all VMs.
func (r *quotaReplay) lower() {
	r.quota.PerSecond *= r.pattern.LoweredTo
	r.quota.Burst *= r.pattern.LoweredTo
	for _, v := range r.vms {
		v.quotas.Configure(r.currentTime(), r.pattern.Rules, []limit.Quota{r.quota})
	}
}
