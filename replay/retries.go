package replay

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuscart/hibiscuscart/retry"
)

// RetryMethod is a way for VMs to keep to the retries of all of them together when their processes start again.
type RetryMethod string

// Methods of the retry replay.
const (
	// RetryAnew gives each process an equal part at once.
	RetryAnew RetryMethod = "anew"
	// RetrySpent takes the part as spent until a process has run for a window.
	RetrySpent RetryMethod = "taken as spent"
	// RetryTold has VMs report what they spend, and tells a new process what its VM had reported. Where the
	// controller has started again too, its reports are lost and the part is taken as spent.
	RetryTold RetryMethod = "told by the controller"
	// RetryPermits asks the controller for each retry beyond the share of a VM's own requests.
	RetryPermits RetryMethod = "a permit each"
)

// RetryPattern is the load pattern of a retry replay: servers break answers off while processes are killed.
type RetryPattern struct {
	VMs int
	// PerSecond is the number of requests a second for all VMs, Failing the share that is sent again.
	PerSecond, Failing float64
	Rules              retry.Rules
	Length             time.Duration
	// KillAt lists when processes are killed, Killed is the share of the VMs that it hits. The first VM, which
	// is the controller, is among them if ControllerToo is set.
	KillAt        []time.Duration
	Killed        float64
	ControllerToo bool
}

// RetryResult is what a retry replay let through.
type RetryResult struct {
	// Most is the largest number of retries in a window, as a share of what was allowed in it.
	Most float64
	// Wanted and Sent count the requests that needed a retry and those that got one, from the first kill to a
	// window after the last. Messages counts the questions to the controller in that time.
	Wanted, Sent, Messages int
}

const (
	retryTick = 10 * time.Millisecond
	// retryDowntime is how long a killed process is away, retryReportInterval how old a VM's reports are at most.
	retryDowntime       = 500 * time.Millisecond
	retryReportInterval = 200 * time.Millisecond
)

type retryVM struct {
	budgets   *retry.Budgets
	downUntil time.Time
	// reported holds when the retries were sent that the controller knows of, pending those of the next report.
	reported, pending []time.Time
	// withheld is the part that an earlier process of the VM has spent, by when it was spent.
	withheld []time.Time
}

// RunRetries replays a pattern with a method. Equal seeds give equal results.
func RunRetries(p RetryPattern, method RetryMethod, seed uint64) RetryResult {
	start := time.Unix(1_000_000, 0)
	x := &retryReplay{
		pattern: p, method: method, rng: rand.New(rand.NewPCG(seed, 1)),
		vms: make([]*retryVM, p.VMs), poolFrom: start,
	}
	for i := range x.vms {
		x.vms[i] = &retryVM{}
		x.vms[i].begin(start.Add(-time.Minute), p)
	}
	x.pool.SetLimit(start, 0, p.Rules.Extra, p.Rules.Window)
	kills := p.KillAt
	for at := time.Duration(0); at < p.Length; at += retryTick {
		now := start.Add(at)
		if len(kills) > 0 && at >= kills[0] {
			kills = kills[1:]
			x.killProcesses(now)
		}
		counted := at >= p.KillAt[0] && at < p.KillAt[len(p.KillAt)-1]+p.Rules.Window
		for n := poisson(x.rng, p.PerSecond*retryTick.Seconds()); n > 0; n-- {
			x.sendRequest(now, counted)
		}
	}
	x.result.Most = mostRetries(p.Rules, x.requests, x.sent)
	return x.result
}

// retryReplay is the state of a retry replay.
type retryReplay struct {
	pattern RetryPattern
	method  RetryMethod
	rng     *rand.Rand
	vms     []*retryVM
	// pool is the controller's budget for permits, which it grants from poolFrom on.
	pool     retry.SlidingWindow
	poolFrom time.Time
	// requests and sent hold when requests came and when retries were sent.
	requests, sent []time.Time
	result         RetryResult
}

// killProcesses kills the processes that one kill of the pattern hits.
func (x *retryReplay) killProcesses(now time.Time) {
	p := x.pattern
	for i, v := range x.vms {
		controller := i == 0
		if controller && !p.ControllerToo || !controller && x.rng.Float64() >= p.Killed {
			continue
		}
		v.kill(now, p, x.method, p.ControllerToo)
	}
	if p.ControllerToo {
		x.poolFrom = now.Add(p.Rules.Window)
	}
}

// sendRequest sends a request through a random VM, and again if it fails and a retry is allowed. The result counts it if
// counted is set.
func (x *retryReplay) sendRequest(now time.Time, counted bool) {
	v := x.vms[x.rng.IntN(len(x.vms))]
	x.requests = append(x.requests, now)
	if now.Before(v.downUntil) {
		return
	}
	v.budgets.Of(now, "s").RecordRequest(now)
	if x.rng.Float64() >= x.pattern.Failing {
		return
	}
	if counted {
		x.result.Wanted++
	}
	allowed := v.allow(now, x.pattern, x.method)
	if !allowed && x.method == RetryPermits && !now.Before(x.poolFrom) && !now.Before(x.vms[0].downUntil) {
		if counted {
			x.result.Messages++
		}
		allowed = x.pool.Allow(now)
	}
	if !allowed {
		return
	}
	x.sent = append(x.sent, now)
	if counted {
		x.result.Sent++
	}
}

// begin starts a process that was first counted at a time.
func (v *retryVM) begin(counted time.Time, p RetryPattern) {
	v.budgets = &retry.Budgets{}
	v.budgets.Configure(counted, p.Rules)
	v.budgets.Counted(counted, p.VMs)
}

// kill ends a VM's process and starts the next one.
func (v *retryVM) kill(now time.Time, p RetryPattern, method RetryMethod, controllerToo bool) {
	v.downUntil = now.Add(retryDowntime)
	counted := v.downUntil
	if method == RetryAnew || method == RetryTold && !controllerToo {
		counted = now.Add(-p.Rules.Window)
	}
	v.begin(counted, p)
	v.withheld = nil
	if method == RetryTold && !controllerToo {
		v.withheld = v.reported
	}
	v.pending = nil
}

// allow takes a retry from a VM's own budget.
func (v *retryVM) allow(now time.Time, p RetryPattern, method RetryMethod) bool {
	if method == RetryPermits {
		// Only the share of its own requests is left to the VM.
		rules := p.Rules
		rules.Extra = 0
		v.budgets.Configure(now, rules)
	}
	if method == RetryTold {
		for len(v.pending) > 0 && now.Sub(v.pending[0]) >= retryReportInterval {
			v.reported, v.pending = append(v.reported, v.pending[0]), v.pending[1:]
		}
		spent := 0
		for _, at := range v.withheld {
			if now.Sub(at) < p.Rules.Window {
				spent++
			}
		}
		usage := v.budgets.Of(now, "s").Usage(now)
		if float64(usage.Retries+spent+1) > usage.Limit {
			return false
		}
	}
	if !v.budgets.Of(now, "s").Allow(now) {
		return false
	}
	v.pending = append(v.pending, now)
	return true
}

// mostRetries returns the largest number of retries in a window as a share of what is allowed in it.
func mostRetries(rules retry.Rules, requests, sent []time.Time) float64 {
	most := 0.0
	end, firstRequest, lastRequest := 0, 0, 0
	for i, from := range sent {
		until := from.Add(rules.Window)
		for end < len(sent) && sent[end].Before(until) {
			end++
		}
		for firstRequest < len(requests) && requests[firstRequest].Before(from) {
			firstRequest++
		}
		for lastRequest < len(requests) && requests[lastRequest].Before(until) {
			lastRequest++
		}
		allowed := rules.PerRequest*float64(lastRequest-firstRequest) + rules.Extra
		most = max(most, float64(end-i)/allowed)
	}
	return most
}
