package stand

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Notice is what a Backend says about itself in a response.
type Notice struct {
	// Leaving is set when the response says that the server will exit soon.
	Leaving bool
	// RetryAfter is the Retry-After value of a refusal that asks for rest, empty for none.
	RetryAfter string
}

const (
	// leavingBound is how long after a VM has passed on a response that says that its server leaves
	// callers may still send it requests that reach the server.
	leavingBound = 2 * time.Second
	// restDelay is how long after a refusal that asks for rest requests may still arrive, and
	// restAllowance is how many may arrive after it until the rest ends.
	restDelay     = 500 * time.Millisecond
	restAllowance = 2
)

// Contact is a request, report or order as a backend server received it.
type Contact struct {
	// VM is where the request entered the system, "" for a report or an order.
	VM string
	// SentAt is when the caller sent the request, zero for a report or an order.
	SentAt, ArrivedAt time.Time
}

// restAsked is a refusal with which a backend server asked a VM for rest.
type restAsked struct {
	vm   string
	at   time.Time
	rest time.Duration
}

// NoticeLog records what one instance of a backend server told which VM about itself, and what reached
// it afterwards. The zero value is ready to use. It is safe for concurrent use.
type NoticeLog struct {
	mu       sync.Mutex
	contacts []Contact
	rests    []restAsked
	// passedOnAt is when each VM passed on responses that say that the server leaves, in this order.
	passedOnAt map[string][]time.Time
}

func (l *NoticeLog) recordContact(c Contact) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contacts = append(l.contacts, c)
}

// Contacts returns how many requests, reports and orders the instance has received.
func (l *NoticeLog) Contacts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.contacts)
}

func (l *NoticeLog) recordRest(r restAsked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rests = append(l.rests, r)
}

func (l *NoticeLog) recordPassedOn(now time.Time, vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.passedOnAt == nil {
		l.passedOnAt = make(map[string][]time.Time)
	}
	l.passedOnAt[vm] = append(l.passedOnAt[vm], now)
}

// Excuse reports whether a VM was disturbed between two times.
type Excuse func(vm string, from, to time.Time) bool

// Violations describes each VM that sent the server requests although it knew that the server leaves, or
// during its rest. A restart or suspension of the VM excuses both, and a cut of its link to the server
// requests during a rest, which may arrive late. The functions tell of these; nil ones of none.
func (l *NoticeLog) Violations(restarted, cut Excuse) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	never := func(string, time.Time, time.Time) bool { return false }
	if restarted == nil {
		restarted = never
	}
	if cut == nil {
		cut = never
	}
	disturbed := func(vm string, from, to time.Time) bool { return restarted(vm, from, to) || cut(vm, from, to) }
	return append(l.leavingViolations(restarted), l.restViolations(disturbed)...)
}

func (l *NoticeLog) leavingViolations(excused Excuse) []string {
	var list []string
	for _, c := range l.contacts {
		told, ok := l.lastPassedOn(c.VM, c.SentAt.Add(-leavingBound))
		if late := c.SentAt.Sub(told); ok && !excused(c.VM, told, c.ArrivedAt) {
			list = append(list, fmt.Sprintf("a request that was sent to VM %s %v after the VM had passed on that the server leaves reached the server", c.VM, late))
		}
	}
	return list
}

// lastPassedOn returns when a VM last passed on, before a time, that the server leaves.
func (l *NoticeLog) lastPassedOn(vm string, before time.Time) (at time.Time, ok bool) {
	for _, t := range l.passedOnAt[vm] {
		if t.Before(before) {
			at, ok = t, true
		}
	}
	return at, ok
}

func (l *NoticeLog) restViolations(excused Excuse) []string {
	var list []string
	for _, r := range l.rests {
		from, to := r.at.Add(restDelay), r.at.Add(r.rest)
		var after []time.Duration
		for _, c := range l.contacts {
			if c.VM == r.vm && c.ArrivedAt.After(from) && c.ArrivedAt.Before(to) {
				after = append(after, c.ArrivedAt.Sub(r.at).Round(time.Millisecond))
			}
		}
		if len(after) > restAllowance && !excused(r.vm, r.at, to) {
			list = append(list, fmt.Sprintf("the server asked VM %q for %v of rest and got %d requests from it in that time, after %v", r.vm, r.rest, len(after), after))
		}
	}
	return list
}

// SetLeaving makes the responses say that the server leaves, or no longer say so. Its entry does not
// change, as if the server could not reach the platform.
func (b *Backend) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
}

// SetRest makes the server refuse all requests, reports and orders with a Retry-After value that asks for
// a rest of the given duration. An empty value makes it accept them again.
func (b *Backend) SetRest(retryAfter string, rest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryAfter, b.rest = retryAfter, rest
}

// Receive records a request, report or order and returns what the response to it says about the server.
// With a RetryAfter value it must be refused.
func (b *Backend) Receive(c Contact) Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.noticesLocked()
	l.recordContact(c)
	if b.retryAfter != "" {
		l.recordRest(restAsked{vm: c.VM, at: c.ArrivedAt, rest: b.rest})
	}
	return Notice{Leaving: b.leaving, RetryAfter: b.retryAfter}
}

// RecordPassedOn records that a VM passed on a response that says that the server leaves.
func (b *Backend) RecordPassedOn(now time.Time, vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		b.noticesLocked().recordPassedOn(now, vm)
	}
}

// Notices returns the log of the current instance.
func (b *Backend) Notices() *NoticeLog {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.noticesLocked()
}

// AllNotices returns the logs of all instances, the current one last.
func (b *Backend) AllNotices() []*NoticeLog {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noticesLocked()
	return slices.Clone(b.notices)
}

func (b *Backend) noticesLocked() *NoticeLog {
	if len(b.notices) == 0 {
		b.notices = []*NoticeLog{{}}
	}
	return b.notices[len(b.notices)-1]
}
