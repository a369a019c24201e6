package stand

import (
	"cmp"
	"time"
)

// rejectGrace is how long after a backend server has set its rejection limit it still lets as many requests wait
// as before. Its clients have that time to learn of the limit.
const rejectGrace = 3 * time.Second

// waitingPerSlot is how many requests wait for each slot of a backend server before it rejects others.
const waitingPerSlot = 3

// Admission is how a backend server receives a request.
type Admission int

// Values of Admission.
const (
	// Admitted means that the request is executed, after a wait if all slots are taken.
	Admitted Admission = iota
	// RejectedNoRoom means that it is rejected for want of room.
	RejectedNoRoom
	// RejectedCrash means that this rejection is one too many: the process crashes.
	RejectedCrash
)

// rejectLimit is the state of a backend server that crashes if it rejects too many requests.
type rejectLimit struct {
	perSecond  int
	since      time.Time
	processing time.Duration
	running    int
	rejectedAt []time.Time
	// falls counts the crashes.
	falls int
}

// SetRejectLimit makes the backend crash if it rejects more than perSecond requests in a second, and say so in
// all responses; 0 ends that. Meanwhile a request takes the given processing time.
func (b *Backend) SetRejectLimit(now time.Time, perSecond int, processing time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejects.perSecond, b.rejects.since, b.rejects.processing, b.rejects.rejectedAt = perSecond, now, processing, nil
}

// RejectLimit returns the limit that responses contain, 0 for none.
func (b *Backend) RejectLimit() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rejects.perSecond
}

// Falls returns how often the backend has crashed because it had to reject too many requests.
func (b *Backend) Falls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rejects.falls
}

// Admit admits or rejects a request. EndRun must be called for an admitted one.
func (b *Backend) Admit(now time.Time) Admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.rejects
	room := b.Slots * (1 + waitingPerSlot)
	if now.Sub(l.since) > rejectGrace {
		room = b.Slots
	}
	if l.perSecond == 0 || l.running < room {
		l.running++
		return Admitted
	}
	l.rejectedAt = append(l.rejectedAt, now)
	for now.Sub(l.rejectedAt[0]) >= time.Second {
		l.rejectedAt = l.rejectedAt[1:]
	}
	if len(l.rejectedAt) <= l.perSecond {
		return RejectedNoRoom
	}
	l.falls++
	l.rejectedAt = nil
	return RejectedCrash
}

// EndRun ends the run of an admitted request.
func (b *Backend) EndRun() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejects.running--
}

// processingTime returns how long a request takes now.
func (b *Backend) processingTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rejects.perSecond > 0 {
		return b.rejects.processing
	}
	return b.workTimeLocked()
}

// EventTime returns how long an event of a stream takes now.
func (b *Backend) EventTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.workTimeLocked()
}

// workTimeLocked returns how long a request or an event takes now, or the silence of the server if that lasts longer.
// The caller holds b.mu.
func (b *Backend) workTimeLocked() time.Duration {
	return max(cmp.Or(b.slowed, b.ProcessingTime), b.silences.rest(time.Now()))
}

// SetSlowed replaces ProcessingTime, or ends that if it is 0.
func (b *Backend) SetSlowed(processing time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowed = processing
}

// Work waits for as long as the execution of a request takes.
func (b *Backend) Work() { time.Sleep(b.processingTime()) }
