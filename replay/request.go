package replay

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/batch"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// request is a request of a caller. A retry by the caller is another request.
type request struct {
	class *RequestClass
	model int
	// adapter is the number of the adapter, counted from 1, or 0 for none.
	adapter      int
	promptTokens int
	outputTokens int
	sharedParts  []sharedPart
	arrivedAt    time.Duration
	// firstArrivedAt is when the caller's first request arrived.
	firstArrivedAt time.Duration
	isRetry        bool
	vm             *vm
	work           pick.Work

	// State at the VM.
	attempts        int
	excludedServers []string
	waitingSince    time.Duration
	waiting         bool
	rounds          int
	retryAfter      time.Duration
	ended           bool
	// Events at the caller.
	firstEventAt  time.Duration
	hasFirstEvent bool
	longestPause  time.Duration
}

type sharedPart struct {
	key    uint64
	tokens int
}

// attempt is a request sent to a server.
type attempt struct {
	request      *request
	server       *server
	batchRequest *batch.Request
	tracker      *pick.Attempt
	choice       pick.Choice
	ended        bool
}

// deliverFirstEvent sends the first event to the VM.
func (a *attempt) deliverFirstEvent() {
	sim := a.request.vm.sim
	sim.scheduleAfter(sim.latency(a.request.vm, a.server), func() {
		if a.ended {
			return
		}
		a.tracker.FirstEvent(sim.currentTime())
		if r := a.request; !r.hasFirstEvent {
			r.hasFirstEvent, r.firstEventAt = true, sim.now
			sim.tally.recordFirstEvent(a)
		}
	})
}

// deliverEnd sends the end of the response to the VM.
func (a *attempt) deliverEnd() {
	sim := a.request.vm.sim
	longestPause := a.batchRequest.MaxEventGap()
	duration := sim.currentTime().Sub(a.batchRequest.FirstEventAt())
	sim.scheduleAfter(sim.latency(a.request.vm, a.server), func() {
		if a.ended {
			return
		}
		a.ended = true
		a.tracker.StreamCompleted((a.batchRequest.OutputTokens+a.request.work.TokensPerEvent-1)/a.request.work.TokensPerEvent, duration)
		a.tracker.LongestPause(longestPause)
		a.tracker.End(sim.currentTime(), pick.Succeeded)
		a.request.longestPause = max(a.request.longestPause, longestPause)
		a.request.vm.complete(a.request)
	})
}

// fail ends an attempt whose server crashed.
func (a *attempt) fail() {
	sim := a.request.vm.sim
	sim.scheduleAfter(sim.latency(a.request.vm, a.server), func() {
		if a.ended {
			return
		}
		a.ended = true
		a.tracker.End(sim.currentTime(), pick.Failed)
		a.request.vm.fail(a.request, "server crashed")
	})
}

// cancel ends an attempt whose caller has disconnected.
func (a *attempt) cancel() {
	if a.ended {
		return
	}
	a.ended = true
	a.tracker.End(a.request.vm.sim.currentTime(), pick.Neutral)
	a.server.cancel(a)
}
