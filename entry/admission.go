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
	// expireInterval is the time between two looks for requests that have
	// waited too long.
	expireInterval = 25 * time.Millisecond
	// firstTokenMargin allows for a first token that takes longer than usual.
	firstTokenMargin = 1.5
)

// admitStage holds requests at the gate of their profile.
type admitStage struct {
	now func() time.Time
	// share returns the VM's part of a profile's fleet-wide limit, for its own
	// demand.
	share func(p hibiscuscart.Profile, own int) int
	// free returns how many more requests for a model this VM may send to the
	// servers that hold it, and whether that is known.
	free func(p hibiscuscart.Profile, model string) (int, bool)

	mu     sync.Mutex
	gates  map[string]*gate
	waits  map[uint64]chan error
	lastID uint64
}

// gate is the gate of one model of a profile, or of a profile without models,
// with what the stage learns about it. Each model has its own, as a model whose
// servers are full must not hold up the others.
type gate struct {
	admit.Gate
	profile hibiscuscart.Profile
	model   string
	// first is the running mean of the time from admission to the first token.
	first time.Duration
}

func newAdmitStage(d *Daemon) *admitStage {
	return &admitStage{now: d.now, share: d.peers.share, free: d.freeSlots, gates: make(map[string]*gate), waits: make(map[uint64]chan error)}
}

// expire refuses waiting requests that can not be answered in time, until ctx
// ends.
func (s *admitStage) expire(ctx context.Context) {
	for pause.For(ctx, expireInterval) {
		s.mu.Lock()
		for _, g := range s.gates {
			s.refuseLate(g)
			s.setLimits(g)
			s.start(g.Dispatch())
		}
		s.mu.Unlock()
	}
}

// refuseLate refuses at once the requests that have become hopeless. The caller
// holds s.mu.
func (s *admitStage) refuseLate(g *gate) {
	for _, t := range g.Expire(s.now()) {
		s.wake(t.ID, hibiscuscart.Fail(hibiscuscart.CauseDeadlineUnreachable,
			"the answer could not be whole in time").WithRetryAfter(max(g.EstimateWait(t), shortestRetryHint)))
	}
}

func (s *admitStage) run(ctx context.Context, x *Exchange, next Next) error {
	spanCtx, span := spans.Start(ctx, "admit")
	err := s.enter(spanCtx, x)
	spans.End(span, err)
	if err != nil {
		return err
	}
	began := s.now()
	defer func() { s.leave(x, began) }()
	return next(ctx, x)
}

// enter returns once the request may go on.
func (s *admitStage) enter(ctx context.Context, x *Exchange) error {
	id, verdict, wait := s.arrive(x)
	switch verdict {
	case admit.Admitted:
		return nil
	case admit.QueueFull:
		return hibiscuscart.Fail(hibiscuscart.CauseQueueFull, "the queue of profile %q is full", x.profile.Name()).WithRetryAfter(s.estimate(x))
	case admit.DeadlineUnreachable:
		return hibiscuscart.Fail(hibiscuscart.CauseDeadlineUnreachable, "the answer could not be whole in time").WithRetryAfter(s.estimate(x))
	}
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
		return s.abandon(ctx, x, id, wait)
	}
}

func (s *admitStage) arrive(x *Exchange) (uint64, admit.Verdict, chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gate(x)
	s.lastID++
	id := s.lastID
	s.refuseLate(g)
	verdict, evicted := g.Arrive(s.now(), g.ticket(id, x))
	if evicted != nil {
		s.wake(evicted.ID, hibiscuscart.Fail(hibiscuscart.CauseQueueFull,
			"the queue is full and this caller has the most requests in it").WithRetryAfter(g.EstimateWait(*evicted)))
	}
	if verdict != admit.Queued {
		return id, verdict, nil
	}
	wait := make(chan error, 1)
	s.waits[id] = wait
	return id, verdict, wait
}

// gate returns the gate of a request, with its limits as they are now.
func (s *admitStage) gate(x *Exchange) *gate {
	key := x.profile.Name() + "/" + x.model
	g := s.gates[key]
	if g == nil {
		g = &gate{model: x.model}
		s.gates[key] = g
	}
	g.profile = x.profile
	s.setLimits(g)
	return g
}

// setLimits bounds the requests in progress by the VM's part of the profile's
// limit and by what the servers that hold the model can take: a request that
// waits here can still be refused in time, or go elsewhere; one that waits at a
// server can not.
func (s *admitStage) setLimits(g *gate) {
	concurrency := s.share(g.profile, g.Running()+g.Waiting()+1)
	if free, known := s.free(g.profile, g.model); known {
		concurrency = min(concurrency, g.Running()+free)
	}
	g.SetLimits(admit.Limits{Concurrency: concurrency, Queue: g.profile.QueueLimit()})
}

// start lets requests go on. The caller holds s.mu.
func (s *admitStage) start(tickets []admit.Ticket) {
	for _, t := range tickets {
		s.wake(t.ID, nil)
	}
}

// ticket returns the ticket of a request. To meet the target for the first
// token it must be admitted as much earlier as a first token takes.
func (g *gate) ticket(id uint64, x *Exchange) admit.Ticket {
	t := admit.Ticket{
		ID: id, Caller: x.request.Caller, Weight: x.profile.CallerWeight(x.request.Caller),
		Priority: x.profile.Priority(), Target: x.deadline, Deadline: x.deadline,
	}
	if !x.profile.IsService() {
		takes := time.Duration(firstTokenMargin * float64(g.first))
		t.Target = x.request.ArrivedAt.Add(max(x.profile.FirstTokenTarget()-takes, 0))
	}
	return t
}

// learn takes in how long the first token of a request took.
func (g *gate) learn(x *Exchange, began time.Time) {
	if x.firstAt.IsZero() {
		return
	}
	took := x.firstAt.Sub(began)
	if g.first == 0 {
		g.first = took
	}
	g.first += time.Duration(admit.SmoothingFactor * float64(took-g.first))
}

// wake ends the wait of a ticket. The caller holds s.mu.
func (s *admitStage) wake(id uint64, err error) {
	if wait := s.waits[id]; wait != nil {
		wait <- err
		delete(s.waits, id)
	}
}

// abandon gives up a waiting request whose caller has gone or whose time is
// over. When its turn came at the same moment, the place is passed on.
func (s *admitStage) abandon(ctx context.Context, x *Exchange, id uint64, wait chan error) error {
	s.mu.Lock()
	g := s.gate(x)
	waiting := g.Abandon(id)
	delete(s.waits, id)
	s.mu.Unlock()
	cause, _ := httpx.ContextCause(ctx, false)
	failure := hibiscuscart.Fail(cause, "the request waited until its time was over").WithRetryAfter(s.estimate(x))
	if waiting {
		return failure
	}
	if err := <-wait; err != nil {
		return err
	}
	s.leave(x, s.now())
	return failure
}

// leave gives a request's place to the next.
func (s *admitStage) leave(x *Exchange, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gate(x)
	g.learn(x, began)
	s.refuseLate(g)
	s.start(g.Finish(s.now().Sub(began)))
}

const shortestRetryHint = 100 * time.Millisecond

// estimate says when a refused caller should come back.
func (s *admitStage) estimate(x *Exchange) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.gate(x).EstimateWait(admit.Ticket{Caller: x.request.Caller, Priority: x.profile.Priority()})
	return max(wait, shortestRetryHint)
}

// demand returns the requests in progress and waiting of each profile.
func (s *admitStage) demand() []wire.ProfileDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := make(map[string]int)
	for _, g := range s.gates {
		requests[g.profile.Name()] += g.Running() + g.Waiting()
	}
	demand := []wire.ProfileDemand{}
	for name, n := range requests {
		if n > 0 {
			demand = append(demand, wire.ProfileDemand{Name: name, Requests: n})
		}
	}
	return demand
}

// depth returns the requests in progress and waiting, over all profiles.
func (s *admitStage) depth() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gates {
		running += g.Running()
		waiting += g.Waiting()
	}
	return running, waiting
}
