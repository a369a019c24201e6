package replay

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/batch"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// request is one attempt of a caller.
type request struct {
	kind  *Kind
	model int
	// adapter is a number from 1, 0 for none.
	adapter int
	prompt  int
	output  int
	shared  []sharedPart
	arrived time.Duration
	// firstArrived is that of the caller's first attempt.
	firstArrived time.Duration
	again        bool
	vm           *vm
	work         pick.Work

	// What the VM did.
	sends     int
	avoid     []string
	heldSince time.Duration
	held      bool
	rounds    int
	comeBack  time.Duration
	ended     bool
	// What the caller saw.
	began time.Duration
	seen  bool
	pause time.Duration
}

type sharedPart struct {
	key    uint64
	tokens int
}

// send is a request at a server.
type send struct {
	r      *request
	server *server
	run    *batch.Request
	ticket *pick.Attempt
	choice pick.Choice
	over   bool
}

// first passes the first event on.
func (t *send) first() {
	w := t.r.vm.w
	w.after(w.way(t.r.vm, t.server), func() {
		if t.over {
			return
		}
		t.ticket.FirstEvent(w.time())
		if r := t.r; !r.seen {
			r.seen, r.began = true, w.now
			w.tally.first(t)
		}
	})
}

// done passes the end on.
func (t *send) done() {
	w := t.r.vm.w
	pause := t.run.MaxEventGap()
	took := w.time().Sub(t.run.FirstEventAt())
	w.after(w.way(t.r.vm, t.server), func() {
		if t.over {
			return
		}
		t.over = true
		t.ticket.StreamCompleted((t.run.OutputTokens+t.r.work.TokensPerEvent-1)/t.r.work.TokensPerEvent, took)
		t.ticket.End(w.time(), pick.Succeeded)
		t.r.pause = max(t.r.pause, pause)
		t.r.vm.answered(t.r)
	})
}

// broken is the end of a send whose server crashed.
func (t *send) broken() {
	w := t.r.vm.w
	w.after(w.way(t.r.vm, t.server), func() {
		if t.over {
			return
		}
		t.over = true
		t.ticket.End(w.time(), pick.Failed)
		t.r.vm.lost(t.r, "its server crashed")
	})
}

// drop ends a send whose caller has left.
func (t *send) drop() {
	if t.over {
		return
	}
	t.over = true
	t.ticket.End(t.r.vm.w.time(), pick.Neutral)
	t.server.cancel(t)
}
