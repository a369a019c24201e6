package entry

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/admit"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// queueCheckInterval is the time between two checks for requests that have
	// waited too long.
	queueCheckInterval = 25 * time.Millisecond
	// firstTokenTimeFactor allows for a first token that takes longer than the
	// mean.
	firstTokenTimeFactor = 1.5
)

// admissionStage queues requests until their profile and model have capacity.
type admissionStage struct {
	now func() time.Time
	// concurrencyShare returns the VM's share of a profile's fleet-wide limit,
	// given the VM's own demand.
	concurrencyShare func(p hibiscuscart.Profile, own int) int
	// freeSlots returns how many more requests for a model this VM may send to
	// the servers that have loaded it, and whether that number is known.
	freeSlots func(p hibiscuscart.Profile, model string) (int, bool)

	mu      sync.Mutex
	queues  map[string]*admissionQueue
	waiters map[uint64]chan error
	lastID  uint64
}

// admissionQueue is the admission queue of one model of a profile, or of a
// profile without models. Each model has its own, so that a model whose servers
// are full does not block the others.
type admissionQueue struct {
	admit.Gate
	profile hibiscuscart.Profile
	model   string
	// meanFirstTokenTime is the running mean of the time from admission to the
	// first token.
	meanFirstTokenTime time.Duration
}

func newAdmissionStage(d *Daemon) *admissionStage {
	return &admissionStage{
		now: d.now, concurrencyShare: d.peers.concurrencyShare, freeSlots: d.freeSlots,
		queues: make(map[string]*admissionQueue), waiters: make(map[uint64]chan error),
	}
}

// runExpiry refuses waiting requests that cannot be answered in time, until
// ctx ends.
func (s *admissionStage) runExpiry(ctx context.Context) {
	for pause.For(ctx, queueCheckInterval) {
		s.mu.Lock()
		for _, q := range s.queues {
			s.refuseExpired(q)
			s.setLimits(q)
			s.admitTickets(q.Dispatch())
		}
		s.mu.Unlock()
	}
}

// refuseExpired refuses the waiting requests that can no longer meet their
// deadline. The caller holds s.mu.
func (s *admissionStage) refuseExpired(q *admissionQueue) {
	for _, t := range q.Expire(s.now()) {
		s.notify(t.ID, hibiscuscart.Fail(hibiscuscart.CauseDeadlineUnreachable,
			"the answer could not be whole in time").WithRetryAfter(max(q.EstimateWait(t), minRetryAfter)))
	}
}

func (s *admissionStage) run(ctx context.Context, x *Exchange, next Next) error {
	spanCtx, span := spans.Start(ctx, "admit")
	err := s.admit(spanCtx, x)
	spans.End(span, err)
	if err != nil {
		return err
	}
	startedAt := s.now()
	defer func() { s.finish(x, startedAt) }()
	return next(ctx, x)
}

// admit returns once the request is admitted, or with the reason of its
// refusal.
func (s *admissionStage) admit(ctx context.Context, x *Exchange) error {
	id, verdict, wait := s.enqueue(x)
	switch verdict {
	case admit.Admitted:
		return nil
	case admit.QueueFull:
		return hibiscuscart.Fail(hibiscuscart.CauseQueueFull, "the queue of profile %q is full", x.profile.Name()).WithRetryAfter(s.retryAfter(x))
	case admit.DeadlineUnreachable:
		return hibiscuscart.Fail(hibiscuscart.CauseDeadlineUnreachable, "the answer could not be whole in time").WithRetryAfter(s.retryAfter(x))
	}
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
		return s.cancelWait(ctx, x, id, wait)
	}
}

func (s *admissionStage) enqueue(x *Exchange) (uint64, admit.Verdict, chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queueFor(x)
	s.lastID++
	id := s.lastID
	s.refuseExpired(q)
	verdict, evicted := q.Arrive(s.now(), q.newTicket(id, x))
	if evicted != nil {
		s.notify(evicted.ID, hibiscuscart.Fail(hibiscuscart.CauseQueueFull,
			"the queue is full and this caller has the most requests in it").WithRetryAfter(q.EstimateWait(*evicted)))
	}
	if verdict != admit.Queued {
		return id, verdict, nil
	}
	wait := make(chan error, 1)
	s.waiters[id] = wait
	return id, verdict, wait
}

// queueFor returns the queue of a request, with its limits brought up to date.
func (s *admissionStage) queueFor(x *Exchange) *admissionQueue {
	key := x.profile.Name() + "/" + x.modelName
	q := s.queues[key]
	if q == nil {
		q = &admissionQueue{model: x.modelName}
		s.queues[key] = q
	}
	q.profile = x.profile
	s.setLimits(q)
	return q
}

// setLimits bounds the requests in progress by the VM's share of the profile's
// limit and by the free slots of the servers that have loaded the model. A
// request that waits in this queue can still be refused in time or sent to
// another server; one that waits at a server cannot.
func (s *admissionStage) setLimits(q *admissionQueue) {
	concurrency := s.concurrencyShare(q.profile, q.Running()+q.Waiting()+1)
	if free, known := s.freeSlots(q.profile, q.model); known {
		concurrency = min(concurrency, q.Running()+free)
	}
	q.SetLimits(admit.Limits{Concurrency: concurrency, Queue: q.profile.QueueLimit()})
}

// admitTickets admits waiting requests. The caller holds s.mu.
func (s *admissionStage) admitTickets(tickets []admit.Ticket) {
	for _, t := range tickets {
		s.notify(t.ID, nil)
	}
}

// newTicket returns the ticket of a request. To meet the first-token target,
// the request must be admitted earlier by the expected time to the first token.
func (q *admissionQueue) newTicket(id uint64, x *Exchange) admit.Ticket {
	t := admit.Ticket{
		ID: id, Caller: x.request.Caller, Weight: x.profile.CallerWeight(x.request.Caller),
		Priority: x.profile.Priority(), Target: x.deadline, Deadline: x.deadline,
	}
	if !x.profile.IsService() {
		firstTokenTime := time.Duration(firstTokenTimeFactor * float64(q.meanFirstTokenTime))
		t.Target = x.request.ArrivedAt.Add(max(x.profile.FirstTokenTarget()-firstTokenTime, 0))
	}
	return t
}

// recordFirstToken adds the time to the first token of a request to the running
// mean.
func (q *admissionQueue) recordFirstToken(x *Exchange, startedAt time.Time) {
	if x.firstTokenAt.IsZero() {
		return
	}
	firstTokenTime := x.firstTokenAt.Sub(startedAt)
	if q.meanFirstTokenTime == 0 {
		q.meanFirstTokenTime = firstTokenTime
	}
	q.meanFirstTokenTime += time.Duration(admit.SmoothingFactor * float64(firstTokenTime-q.meanFirstTokenTime))
}

// notify ends the wait of a ticket. The caller holds s.mu.
func (s *admissionStage) notify(id uint64, err error) {
	if wait := s.waiters[id]; wait != nil {
		wait <- err
		delete(s.waiters, id)
	}
}

// cancelWait removes a waiting request whose caller disconnected or whose
// deadline passed. When the request was admitted at the same moment, its slot
// is released.
func (s *admissionStage) cancelWait(ctx context.Context, x *Exchange, id uint64, wait chan error) error {
	s.mu.Lock()
	q := s.queueFor(x)
	waiting := q.Abandon(id)
	delete(s.waiters, id)
	s.mu.Unlock()
	cause, _ := httpx.ContextCause(ctx, false)
	failure := hibiscuscart.Fail(cause, "the request waited until its time was over").WithRetryAfter(s.retryAfter(x))
	if waiting {
		return failure
	}
	if err := <-wait; err != nil {
		return err
	}
	s.finish(x, s.now())
	return failure
}

// finish releases a request's slot and admits the next requests.
func (s *admissionStage) finish(x *Exchange, startedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queueFor(x)
	q.recordFirstToken(x, startedAt)
	s.refuseExpired(q)
	s.admitTickets(q.Finish(s.now().Sub(startedAt)))
}

const minRetryAfter = 100 * time.Millisecond

// retryAfter estimates after how long a refused caller should retry.
func (s *admissionStage) retryAfter(x *Exchange) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.queueFor(x).EstimateWait(admit.Ticket{Caller: x.request.Caller, Priority: x.profile.Priority()})
	return max(wait, minRetryAfter)
}

// demand returns the number of requests in progress and waiting of each
// profile.
func (s *admissionStage) demand() []wire.ProfileDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := make(map[string]int)
	for _, q := range s.queues {
		requests[q.profile.Name()] += q.Running() + q.Waiting()
	}
	demand := []wire.ProfileDemand{}
	for name, n := range requests {
		if n > 0 {
			demand = append(demand, wire.ProfileDemand{Name: name, Requests: n})
		}
	}
	return demand
}

// requestCounts returns the numbers of requests in progress and waiting, over
// all profiles.
func (s *admissionStage) requestCounts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		running += q.Running()
		waiting += q.Waiting()
	}
	return running, waiting
}
