package peers

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// The lease record holds which software versions have existed of late. It is written with each renewal in any case,
// outlives all processes, and reaches every VM.

// firstTermHistory is for how long nothing can have existed before the first lease record of a deployment: no VM has
// ever run, and so none has begun a stream.
const firstTermHistory = 24 * time.Hour

// historyRecord converts a history, made at a time of day, to its wire form.
func historyRecord(wall time.Time, h backs.VersionHistory) *wire.VersionHistory {
	record := &wire.VersionHistory{AsOfMs: int(wall.Add(-h.Age).UnixMilli()), CompleteMs: int(h.CompleteFor.Milliseconds()), Gone: []wire.GoneVersion{}}
	for _, g := range h.Gone {
		record.Gone = append(record.Gone, wire.GoneVersion{Service: g.Service, Version: g.Version, AgoMs: int(g.Ago.Milliseconds())})
	}
	for _, l := range h.Listed {
		record.ZListed = append(record.ZListed, wire.GoneVersion{Service: l.Service, Version: l.Version})
	}
	return record
}

// maxClockLag is how far the time of day of a VM may be behind that of another one. A history that is further ahead was not
// made when it says, and may be old.
const maxClockLag = time.Second

// historyOf converts a history from its wire form, at a time of day.
func historyOf(wall time.Time, record *wire.VersionHistory) backs.VersionHistory {
	age := wall.Sub(time.UnixMilli(int64(record.AsOfMs)))
	h := backs.VersionHistory{Age: max(age, 0), CompleteFor: time.Duration(record.CompleteMs) * time.Millisecond}
	if age < -maxClockLag {
		h.CompleteFor = 0
	}
	for _, g := range record.Gone {
		h.Gone = append(h.Gone, backs.GoneVersion{Service: g.Service, Version: g.Version, Ago: time.Duration(g.AgoMs) * time.Millisecond})
	}
	for _, l := range record.ZListed {
		h.Listed = append(h.Listed, backs.ServiceVersion{Service: l.Service, Version: l.Version})
	}
	return h
}

// observeHistory applies the history of a record, once: with each time its versions would count for longer. l.mu must be
// held.
func (l *Lease) observeHistory(record *wire.VersionHistory) {
	if l.ObserveHistory == nil || record == nil || record.AsOfMs == l.historyAsOfMs {
		return
	}
	l.historyAsOfMs = record.AsOfMs
	l.ObserveHistory(historyOf(time.Now(), record))
}

// observeFirstTerm applies that this VM has written the first lease record of the deployment.
func (l *Lease) observeFirstTerm() {
	if l.ObserveHistory != nil {
		l.ObserveHistory(backs.VersionHistory{CompleteFor: firstTermHistory})
	}
}
