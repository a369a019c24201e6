package pick

import "time"

// Load pattern: the demand for a model jumps, and its one or two replicas get several
// times the requests that they can prefill; further replicas are loading and take some
// seconds. If all requests are sent, those replicas have a queue of many seconds. Requests
// at its end get their response after their callers have disconnected, and can not be moved to
// the new replicas. A queue of one second keeps a replica just as busy.
//
// Requests beyond that therefore wait in their VM, from where they can still go to any
// replica. When a server has capacity, each VM admits a share of its waiting requests
// according to the estimated number waiting in all VMs; otherwise all would arrive at once
// and the queue would be as long as before. A request that has waited for as long as its
// response should have taken is refused with a retry time, so that its caller can use an
// alternative.
//
// While demand exceeds capacity, the queue stays at its limit, and if the limit is longer
// than the objective, all responses are late. A request is therefore sent at once only if
// it is predicted to meet its objective. Otherwise it will miss it on any server: it waits
// until a queue is short, and delays no other request.

const (
	// maxQueueTime is the queue of a server, as prefill time, up to which requests are
	// sent. It covers the delay of the load reports of other VMs, some 300 to 500 ms,
	// and as much again, so that a server does not become idle.
	maxQueueTime = time.Second
	// maxLateQueueTime is the queue up to which waiting requests are sent. Most of them
	// miss their objective, and requests that can still meet theirs go first. It keeps a
	// replica busy until the next check.
	maxLateQueueTime = 2 * AdmissionCheckInterval
	// objectiveShare is the share of the objective within which the first event must be
	// predicted for a request to be sent at once; the rest covers network latency and
	// the first decode step.
	objectiveShare = 0.9
	// AdmissionCheckInterval is the interval between admission checks, equal to that of
	// load reports.
	AdmissionCheckInterval = 100 * time.Millisecond
	// minAdmissionWait is the minimum time that a request waits for capacity.
	minAdmissionWait = 300 * time.Millisecond
)

// Load pattern: urgent requests with short responses and less urgent ones with long
// responses share the slots of a server, and demand exceeds its capacity. The long ones
// fill its queue, and the server refuses urgent requests that it would have run first; or
// it preempts running streams for them, which pause and need a second prefill. The long
// ones lose nothing by waiting in their VMs: a short queue fills a free slot as well as a
// long one.
//
// Less urgent requests therefore wait in their VM while all slots of a server are taken and
// a few requests are queued. Operators set the urgency by the priorities of the routes.

const (
	// maxRunningPerSlot is the number of requests per slot of a server up to which less
	// urgent ones are sent to it: the queued ones keep the slots occupied until the next
	// load report. Fewer leave slots empty, more are refused by the servers.
	maxRunningPerSlot = 1.3
)

// Admission decides whether a request is sent or waits in its VM.
type Admission struct {
	// Waiting is the number of requests for the model waiting in this VM, including this
	// one if it has waited before; VMs is the number of VMs.
	Waiting, VMs int
	// Objective is the target time to the first event, 0 for none.
	Objective time.Duration
	// Urgent is set if servers run the request before most others.
	Urgent bool
	// Yields is set if the request yields to less urgent ones (Balancer.Yields).
	Yields bool
}

// Admit reports whether a request may be sent to the server chosen for it. random
// is a random number in the interval from 0 up to 1.
func (a Admission) Admit(c Choice, random float64) bool {
	if a.Yields {
		return a.admitYielding(c, random)
	}
	if !a.Urgent && (!c.slotSoonFree() || c.wholeQueue() >= maxQueueTime) {
		return false
	}
	queueTime := a.QueueTime(c)
	if a.Waiting <= 0 {
		return queueTime < a.queueLimit(c.PrefillTime)
	}
	return random < a.spareTimeShare(c, maxLateQueueTime-queueTime)
}

// spareTimeShare returns the share of the waiting requests of all VMs for which a server has spare
// prefill time.
func (a Admission) spareTimeShare(c Choice, spareTime time.Duration) float64 {
	waitingPrefill := time.Duration(a.allWaiting()) * max(c.PrefillTime, time.Millisecond)
	return spareTime.Seconds() / waitingPrefill.Seconds()
}

// allWaiting returns the estimated number of requests that wait for the model in all VMs.
func (a Admission) allWaiting() int { return max(a.Waiting, 1) * max(a.VMs, 1) }

// admitYielding reports whether a request that yields may be sent. It waits at least once, so that
// all VMs together send no more than the server has slots and time for.
func (a Admission) admitYielding(c Choice, random float64) bool {
	if a.Waiting <= 0 || !c.slotFree() {
		return false
	}
	share := a.spareTimeShare(c, maxYieldQueueTime-a.QueueTime(c))
	if c.Server.Slots > 0 {
		share = min(share, float64(c.Server.Slots-c.Load.Running)/float64(a.allWaiting()))
	}
	return random < share
}

// QueueTime returns the queue of a server that counts for the admission of a request: the queue before
// it, or the whole one if it yields.
func (a Admission) QueueTime(c Choice) time.Duration {
	if a.Yields {
		return c.wholeQueue()
	}
	return c.QueueTime
}

// queueLimit returns the queue up to which a request with this prefill time is sent.
func (a Admission) queueLimit(prefill time.Duration) time.Duration {
	if a.Objective <= 0 {
		return maxQueueTime
	}
	timely := time.Duration(objectiveShare*float64(a.Objective)) - prefill
	return min(max(timely, maxLateQueueTime), maxQueueTime)
}

// slotSoonFree reports whether the server is expected to have a slot shortly for a request
// that is not urgent.
func (c Choice) slotSoonFree() bool {
	return c.Server.Slots == 0 || float64(c.Load.Running) < maxRunningPerSlot*float64(c.Server.Slots)
}

// wholeQueue returns the time that the server needs for all of its pending prefill.
func (c Choice) wholeQueue() time.Duration { return c.QueueTime + c.OvertakenTime }

// slotFree reports whether the server is expected to have a free slot.
func (c Choice) slotFree() bool { return c.Server.Slots == 0 || c.Load.Running < c.Server.Slots }

// HasCapacity reports whether the server is expected to run the request without waiting for a
// slot or a long queue.
func (c Choice) HasCapacity() bool {
	return c.wholeQueue() < maxQueueTime && c.slotFree()
}

// MaxAdmissionWait returns the maximum time that a request with an objective waits for capacity.
func MaxAdmissionWait(objective time.Duration) time.Duration { return max(objective, minAdmissionWait) }

// RetryAfter returns the delay after which a refused request should be retried: the time until
// the queue of its server has capacity again.
func RetryAfter(queueTime time.Duration) time.Duration {
	return max(queueTime-maxQueueTime/2, maxQueueTime/2)
}
