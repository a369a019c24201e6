package peers

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// A frame of the hub says how old its data was when it was written. It may be read much later: it waits in the hub's
// queue, on the link, behind a relay, or for a VM that stands still. So a frame does not show that the list of servers
// has what the store had at some time by this VM's clock. The answer to a question does, for the time of the question.

const (
	// confirmTimeout bounds a confirmation, with those of the hubs above.
	confirmTimeout = time.Second
	// The time between the begins of two confirmations of a VM is at least minConfirmInterval and confirmIntervalPerVM for
	// each VM, but no more than maxConfirmInterval, which it is after one that failed. It bounds the calls to the store and
	// to the hubs: all VMs may ask at the same time, and each of their hubs may have to wait that long.
	minConfirmInterval   = 20 * time.Millisecond
	confirmIntervalPerVM = 500 * time.Microsecond
	maxConfirmInterval   = 100 * time.Millisecond
)

// confirmInterval returns the least time between the begins of two confirmations, for a number of VMs.
func confirmInterval(vms int) time.Duration {
	return min(minConfirmInterval+time.Duration(vms)*confirmIntervalPerVM, maxConfirmInterval)
}

var (
	errNotConfirmed = errors.New("the list of servers was not confirmed")
	errNoStore      = errors.New("this VM does not follow the store")
)

// ConfirmServers makes sure that Servers has every change that the store had made by a time, and that Servers says so. It
// returns an error if that can not be shown now.
func (p *Peers) ConfirmServers(ctx context.Context, by time.Time) error {
	if p.Servers.CurrentAt().After(by) {
		return nil
	}
	confirm := func(ctx context.Context) error {
		err := p.confirm(ctx)
		p.logConfirm(err)
		return err
	}
	if err := p.confirms.run(ctx, p.Now, confirmInterval(p.VMs()), by, confirm); err != nil {
		return err
	}
	if !p.Servers.CurrentAt().After(by) {
		return errNotConfirmed
	}
	return nil
}

// confirm asks the hub, or the store if this VM follows it, or both in turn.
func (p *Peers) confirm(ctx context.Context) error {
	began := p.Now()
	sources := []struct {
		name    string
		confirm func(context.Context) error
	}{{"hub", p.confirmAtHub}, {"store", p.confirmAtStore}}
	if p.Leading() || !p.HubDataFresh(began) {
		sources[0], sources[1] = sources[1], sources[0]
	}
	var errs []error
	for _, source := range sources {
		err := source.confirm(ctx)
		if err == nil {
			p.Meter.AddCounter("peers.confirmed_by_"+source.name, 1)
			p.Meter.RecordDuration("peers.confirm", p.Now().Sub(began))
			return nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", source.name, err))
	}
	p.Meter.AddCounter("peers.confirm_failed", 1)
	return errors.Join(errs...)
}

// logConfirm logs a confirmation if the one before it ended otherwise.
func (p *Peers) logConfirm(err error) {
	p.mu.Lock()
	changed := p.confirmFailed != (err != nil)
	p.confirmFailed = err != nil
	p.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		p.Log.Info().Err(err).Msg("the list of servers can not be confirmed")
	default:
		p.Log.Info().Msg("the list of servers is confirmed again")
	}
}

func (p *Peers) confirmAtStore(ctx context.Context) error {
	if p.ConfirmFromStore == nil {
		return errNoStore
	}
	return p.ConfirmFromStore(ctx)
}

// confirmAtHub asks the hub for a confirmation, and waits until this VM has applied the changes that it is about.
func (p *Peers) confirmAtHub(ctx context.Context) error {
	p.mu.Lock()
	up := p.uplink
	complete := up != nil && up.complete && !up.withoutVersions
	p.mu.Unlock()
	if !complete {
		return errNoController
	}
	asked := p.Now()
	reply, err := up.confirm(ctx)
	if err != nil {
		return err
	}
	if err := up.applied.await(ctx, reply.Revision); err != nil {
		return err
	}
	// The history was made after the question and is taken for one of now, so that versions count for longer.
	h := historyOf(time.UnixMilli(int64(reply.History.AsOfMs)), &reply.History)
	p.Servers.MarkConfirmed(p.Now(), asked, h)
	return nil
}

// confirm requests a confirmation from the hub.
func (u *uplink) confirm(ctx context.Context) (*wire.ServersReply, error) {
	m, err := u.call(ctx, func(call int) *wire.Message {
		return &wire.Message{PermitCall: &wire.PermitCall{Call: call, ZzzServers: true}}
	})
	if err != nil {
		return nil, err
	}
	if m.PermitReply.ZzzServers == nil {
		return nil, errNotConfirmed // The hub is an older build, or can not show it.
	}
	return m.PermitReply.ZzzServers, nil
}

// answerConfirm answers a linked VM that asks for a confirmation.
func (p *Peers) answerConfirm(ctx context.Context, d *downlink, call *wire.PermitCall) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	ctx, span := spans.Start(ctx, "confirm")
	err := p.ConfirmServers(ctx, p.Now())
	spans.End(span, err)
	reply := &wire.PermitReply{Call: call.Call, WaitUs: -1}
	if err == nil {
		now := p.Now()
		history := historyRecord(now, p.Servers.VersionHistory(now))
		reply.ZzzServers = &wire.ServersReply{History: *history, Revision: p.Servers.Revision()}
	}
	frame, err := link.Encode(&wire.Message{PermitReply: reply})
	if err != nil {
		p.Log.Error().Err(err).Msg("encoding a confirmation failed")
		return
	}
	d.enqueueReply(frame)
}

// confirmGroup lets all that ask for a confirmation at the same time share one. The zero value is ready to use.
type confirmGroup struct {
	mu      sync.Mutex
	pending *pendingConfirm
	// begunAt is when the last confirmation began. failed is set if it failed.
	begunAt time.Time
	failed  bool
}

// pendingConfirm is a confirmation. begunAt is when its question was asked, zero before that; err may be read once done is
// closed.
type pendingConfirm struct {
	done    chan struct{}
	begunAt time.Time
	err     error
}

// run waits for a confirmation that is asked for after a time, and begins one with confirm if there is none. One that
// was asked for earlier is awaited first.
func (g *confirmGroup) run(ctx context.Context, now func() time.Time, interval time.Duration, after time.Time, confirm func(context.Context) error) error {
	for {
		pending, later := g.join(ctx, now, interval, after, confirm)
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for a confirmation: %w", ctx.Err())
		case <-pending.done:
		}
		if later {
			return pending.err
		}
	}
}

// join returns the pending confirmation, or begins one, and reports whether it is asked for after a time.
func (g *confirmGroup) join(ctx context.Context, now func() time.Time, interval time.Duration, after time.Time, confirm func(context.Context) error) (pending *pendingConfirm, later bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pending := g.pending; pending != nil {
		return pending, pending.begunAt.IsZero() || pending.begunAt.After(after)
	}
	pending = &pendingConfirm{done: make(chan struct{})}
	g.pending = pending
	// It goes on if the request that began it ends, because others may wait for it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	go func() {
		defer cancel()
		g.begin(ctx, now, interval, pending)
		pending.err = confirm(ctx)
		g.mu.Lock()
		g.pending, g.failed = nil, pending.err != nil
		g.mu.Unlock()
		close(pending.done)
	}()
	return pending, true
}

// begin waits until the least interval since the last confirmation has passed, and records that this one begins.
func (g *confirmGroup) begin(ctx context.Context, now func() time.Time, interval time.Duration, pending *pendingConfirm) {
	g.mu.Lock()
	if g.failed {
		interval = maxConfirmInterval
	}
	wait := min(g.begunAt.Add(interval).Sub(now()), interval)
	g.mu.Unlock()
	pause.For(ctx, wait)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begunAt = now()
	pending.begunAt = g.begunAt
}

// appliedRevision is a revision for which others wait. The zero value is ready to use.
type appliedRevision struct {
	mu       sync.Mutex
	revision int
	closed   bool
	changed  chan struct{}
}

// beyond reports whether a later revision than the given one has been applied, false for 0, which older builds send.
func (a *appliedRevision) beyond(revision int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return revision > 0 && revision < a.revision
}

// set records a revision, unless it is 0 or a later one has been applied.
func (a *appliedRevision) set(revision int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.revision {
		return
	}
	a.revision = revision
	a.wake()
}

// close ends all waits, because the link has ended.
func (a *appliedRevision) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.wake()
}

// wake wakes those who wait. a.mu must be held.
func (a *appliedRevision) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// await waits until a revision has been reached.
func (a *appliedRevision) await(ctx context.Context, revision int) error {
	for {
		a.mu.Lock()
		reached, closed := a.revision >= revision, a.closed
		if a.changed == nil {
			a.changed = make(chan struct{})
		}
		changed := a.changed
		a.mu.Unlock()
		if closed {
			return errLinkLost
		}
		if reached {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the hub's changes: %w", ctx.Err())
		case <-changed:
		}
	}
}
