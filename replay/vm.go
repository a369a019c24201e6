package replay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/batch"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

// vm is an entry VM with its balancer, its part of the retry budget, and its pending requests.
type vm struct {
	sim         *simulation
	name        string
	index       int
	domain      int
	balancer    *pick.Balancer
	retryBudget *retry.SlidingWindow
	rng         *rand.Rand
	// waitingRequests counts the requests that wait for capacity, by model.
	waitingRequests map[string]int
	demand          map[string]*steer.ModelDemand
	// reportedLoads are the loads of this VM alone that it last reported to its hub.
	reportedLoads   map[string]pick.Load
	openConnections map[string]bool
	pending         map[*request]*attempt
}

const (
	// maxAttempts, roundDelay and maxRounds equal those of the request path.
	maxAttempts = 4
	roundDelay  = 40 * time.Millisecond
	maxRounds   = 4
	// dialTime is the round trip of a new connection and the server's time to accept it.
	dialTime = time.Millisecond
	// modelPollInterval is the time between checks for a server if none has loaded the model.
	modelPollInterval = 50 * time.Millisecond
	// maxModelWaitShare is the maximum share of the caller's timeout that a request waits for a
	// server with its model.
	maxModelWaitShare = 0.5
)

func (v *vm) receive(r *request) {
	now := v.sim.currentTime()
	v.retryBudget.RecordRequest(now)
	cost := v.balancer.Cost(r.work)
	key := r.work.Model + "/" + r.work.Adapter
	demand := v.demand[key]
	if demand == nil {
		demand = &steer.ModelDemand{Service: serviceName, Model: r.work.Model, Adapter: r.work.Adapter}
		v.demand[key] = demand
	}
	demand.Requests++
	demand.ServerTime += cost
	v.sim.scheduleAt(r.arrivedAt+r.class.CallerTimeout, func() { v.abandon(r) })
	v.try(r)
}

// abandon ends a request whose caller disconnects because it has received no event.
func (v *vm) abandon(r *request) {
	if r.ended || r.hasFirstEvent {
		return
	}
	if a := v.pending[r]; a != nil {
		a.cancel()
	}
	v.fail(r, "caller disconnected")
}

// try chooses a server and sends the request, or schedules the next try.
func (v *vm) try(r *request) {
	if r.ended {
		return
	}
	now := v.sim.currentTime()
	candidates := v.candidates(now, r)
	choice, ok := v.choose(now, candidates, r)
	if !ok {
		v.retryRound(r, candidates)
		return
	}
	if !v.admit(r, choice) {
		v.waitForCapacity(r, choice)
		return
	}
	v.send(r, choice)
}

// choose returns a server for a request among the candidates, without the excluded servers.
func (v *vm) choose(now time.Time, candidates []backs.Entry, r *request) (pick.Choice, bool) {
	if !v.sim.variant.RandomServer {
		return v.balancer.Choose(now, candidates, r.work, v.sim.pattern.Fleet.ServerSpec.KVCacheTokens, r.excludedServers)
	}
	available := slices.DeleteFunc(slices.Clone(candidates), func(e backs.Entry) bool { return slices.Contains(r.excludedServers, e.ID) })
	if len(available) == 0 {
		return pick.Choice{}, false
	}
	return pick.Choice{Server: available[v.rng.IntN(len(available))]}, true
}

// candidates returns the servers that have loaded the request's model and adapter according to the
// information that the VMs have received.
func (v *vm) candidates(now time.Time, r *request) []backs.Entry {
	var list []backs.Entry
	for _, e := range v.sim.serving(now) {
		if e.HasModel(r.work.Model, r.work.Adapter) {
			list = append(list, e)
		}
	}
	return list
}

// retryRound schedules another round over all candidates, or another check for a server with the
// model if there are none.
func (v *vm) retryRound(r *request, candidates []backs.Entry) {
	waited := v.sim.now - r.arrivedAt
	if len(candidates) > 0 {
		if r.rounds++; r.rounds > maxRounds {
			v.refuse(r, "all servers were tried")
			return
		}
		r.excludedServers = nil
		v.sim.scheduleAfter(roundDelay, func() { v.try(r) })
		return
	}
	if waited >= time.Duration(maxModelWaitShare*float64(r.class.CallerTimeout)) {
		v.refuse(r, "no server has loaded the model")
		return
	}
	if r.adapter > 0 {
		v.sim.scheduleAfter(propagationDelay/4, func() { v.sim.findServer(r) })
	}
	v.sim.scheduleAfter(modelPollInterval, func() { v.try(r) })
}

func (v *vm) isUrgent(r *request) bool { return r.class.Priority == v.sim.pattern.topPriority() }

func (v *vm) admit(r *request, choice pick.Choice) bool {
	admission := pick.Admission{VMs: len(v.sim.vms), Objective: r.work.Objective, Urgent: v.isUrgent(r)}
	admission.Yields = !v.sim.variant.NoYield && v.balancer.Yields(v.sim.currentTime(), serviceName, r.work)
	if limit := v.sim.variant.UrgentQueueLimit; limit > 0 && admission.Urgent && choice.QueueTime < limit {
		v.stopWaiting(r)
		return true
	}
	if !r.waiting {
		return admission.Admit(choice, 0)
	}
	admission.Waiting = v.waitingRequests[r.work.Model]
	if !admission.Admit(choice, v.rng.Float64()) {
		return false
	}
	v.stopWaiting(r)
	return true
}

func (v *vm) stopWaiting(r *request) {
	if r.waiting {
		r.waiting = false
		v.waitingRequests[r.work.Model]--
	}
}

func (v *vm) waitForCapacity(r *request, choice pick.Choice) {
	if !r.waiting {
		r.waiting, r.waitingSince = true, v.sim.now
		v.waitingRequests[r.work.Model]++
		v.sim.tally.waitingRequests++
	}
	r.retryAfter = pick.RetryAfter(pick.Admission{Urgent: v.isUrgent(r)}.QueueTime(choice))
	if v.sim.now-r.waitingSince >= pick.MaxAdmissionWait(r.work.Objective) {
		v.balancer.Unserved(v.sim.currentTime(), serviceName, r.work)
		v.refuse(r, "no free capacity")
		return
	}
	delay := pick.AdmissionCheckInterval/2 + time.Duration(v.rng.Int64N(int64(pick.AdmissionCheckInterval)))
	v.sim.scheduleAfter(delay, func() { v.try(r) })
}

// send sends a request to the server chosen for it.
func (v *vm) send(r *request, choice pick.Choice) {
	now := v.sim.currentTime()
	if r.attempts > 0 && !v.retryBudget.Allow(now) {
		v.refuse(r, "retry budget exhausted")
		return
	}
	s := v.sim.serverByID(choice.Server.ID)
	latency := v.sim.latencyTo(v, choice.Server.Domain)
	if s == nil || s.down {
		// The connection is refused immediately because nothing listens at the address.
		v.sim.tally.failedDials++
		v.sim.scheduleAfter(2*latency, func() {
			v.balancer.ConnectFailed(v.sim.currentTime(), choice.Server)
			v.sim.requireReport(choice.Server.ID)
			r.excludedServers = append(r.excludedServers, choice.Server.ID)
			v.try(r)
		})
		return
	}
	if !v.openConnections[s.id] {
		v.openConnections[s.id] = true
		v.sim.tally.newConnections++
		latency += dialTime
	}
	r.attempts++
	a := &attempt{request: r, server: s, choice: choice, batchRequest: &batch.Request{
		OutputTokens: r.outputTokens, Priority: r.class.Priority,
		TimeFactor: v.sim.pattern.Fleet.Models[r.model].TokenTimeFactor,
	}}
	a.tracker = v.balancer.Begin(now, choice, r.work, v.sim.pattern.Fleet.ServerSpec.KVCacheTokens)
	v.pending[r] = a
	v.sim.scheduleAfter(latency, func() { v.arriveAtServer(a) })
}

// arriveAtServer processes the arrival of an attempt at the server.
func (v *vm) arriveAtServer(a *attempt) {
	v.sim.tally.arrivals++
	if a.ended {
		return
	}
	s := a.server
	if s.id != a.choice.Server.ID || !s.canServe(a.request) || !s.submit(a) {
		v.sim.tally.refusals++
		v.sim.scheduleAfter(v.sim.latency(v, s), func() { v.handleRefusal(a) })
	}
}

// handleRefusal processes the arrival of a server's refusal at the VM.
func (v *vm) handleRefusal(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	a.tracker.End(v.sim.currentTime(), pick.Refused)
	a.request.excludedServers = append(a.request.excludedServers, a.choice.Server.ID)
	if a.request.attempts >= maxAttempts {
		v.refuse(a.request, "refused by servers")
		return
	}
	v.try(a.request)
}

const (
	// minRetryDelay and retryJitter are the bounds of the delay after which a refused caller retries.
	minRetryDelay = 150 * time.Millisecond
	retryJitter   = 350 * time.Millisecond
	// maxRetryDelayShare is the maximum of that delay as a share of the caller's timeout.
	maxRetryDelayShare = 1.0 / 3
)

// refuse responds to the caller that the request was not executed. A caller retries once.
func (v *vm) refuse(r *request, reason string) {
	if r.ended {
		return
	}
	v.stopWaiting(r)
	if r.isRetry {
		v.sim.tally.updateCounts(r, func(c *OutcomeCounts) { c.Refused++ })
		v.fail(r, reason)
		return
	}
	r.ended = true
	v.sim.tally.refusedRequests++
	v.sim.tally.updateCounts(r, func(c *OutcomeCounts) { c.Refused++ })
	v.sim.tally.reasons["refused: "+reason]++
	delay := max(minRetryDelay, r.retryAfter) + time.Duration(v.rng.Int64N(int64(max(retryJitter, r.retryAfter))))
	next := *r
	next.isRetry, next.ended, next.attempts, next.excludedServers, next.rounds, next.retryAfter = true, false, 0, nil, 0, 0
	v.sim.scheduleAfter(min(delay, time.Duration(maxRetryDelayShare*float64(r.class.CallerTimeout))), func() {
		next.arrivedAt = v.sim.now
		next.vm = v.sim.randomVM(v.domain)
		next.vm.receive(&next)
	})
}

// fail ends a request without a complete response.
func (v *vm) fail(r *request, reason string) {
	if r.ended {
		return
	}
	r.ended = true
	v.stopWaiting(r)
	delete(v.pending, r)
	v.sim.tally.recordLoss(v.sim.now, r, reason)
}

func (v *vm) complete(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	delete(v.pending, r)
	v.sim.tally.recordResponse(v.sim.now, r)
}

// takeDemand returns and resets the demand since the last call.
func (v *vm) takeDemand() []steer.ModelDemand {
	list := make([]steer.ModelDemand, 0, len(v.demand))
	for _, d := range v.demand {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b steer.ModelDemand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	clear(v.demand)
	return list
}
