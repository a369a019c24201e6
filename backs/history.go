package backs

import (
	"slices"
	"time"
)

// VersionHistory says which software versions have existed besides those of the servers that are listed. VMs pass it
// on to processes that start later, which would otherwise not know which versions may have begun streams.
type VersionHistory struct {
	// Age is how old the history is, CompleteFor for how long before that it lists every version.
	Age, CompleteFor time.Duration
	Gone             []GoneVersion
	// Listed are the versions that had servers when the history was made.
	Listed []ServiceVersion
}

// ServiceVersion is a software version of a service.
type ServiceVersion struct{ Service, Version string }

// GoneVersion is a software version of which a service has no server any more.
type GoneVersion struct {
	Service, Version string
	// Ago is how long the last server had been gone when the history was made.
	Ago time.Duration
}

// maxHistoryGap is the longest time between two parts of a history, each with a full list of servers, for which they
// count as one if no server may hide a version of that time. A server that was in use in between is still listed after
// it: entries last longer without a heartbeat.
const maxHistoryGap = 2500 * time.Millisecond

// HistoryRetention is how long versions that have gone are kept. Streams may last that long.
const HistoryRetention = 24 * time.Hour

// history is a part of View.
type history struct {
	// since is the time since which the view knows all versions that have existed. begunAt is when the full list was
	// read since which the view has followed all changes.
	since, begunAt time.Time
	// gone is when the last server of a version was seen, for those without a record.
	gone map[ServiceVersion]time.Time
	// hiddenAt is when a server was last seen that may hide a version: one that started again under its name, or an
	// unknown one whose entry can not be read.
	hiddenAt time.Time
	// The versions that existed from toldSince to toldAt are known too: other VMs told them, or this view followed the
	// changes then.
	toldAt, toldSince time.Time
}

// addGone records that a version was last seen at a time.
func (h *history) addGone(key ServiceVersion, seen time.Time) {
	if h.gone == nil {
		h.gone = make(map[ServiceVersion]time.Time)
	}
	if seen.After(h.gone[key]) {
		h.gone[key] = seen
	}
}

// AddVersionHistory applies the history that another VM has told. Its age is measured by times of day, which may step, so
// that it only shortens what counts as known: versions count as seen as if the history were new.
func (v *View) AddVersionHistory(now time.Time, h VersionHistory) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addVersionHistory(now, h)
}

func (v *View) addVersionHistory(now time.Time, h VersionHistory) {
	for _, g := range h.Gone {
		v.history.addGone(ServiceVersion{g.Service, g.Version}, now.Add(-g.Ago))
	}
	for _, key := range h.Listed {
		v.history.addGone(key, now)
	}
	if h.CompleteFor > h.Age {
		v.history.addTold(now.Add(-h.Age), now.Add(-h.CompleteFor))
	}
	v.history.extend()
}

// MarkConfirmed records that a hub has confirmed at asOf or later that the view has every change, with the hub's history.
// Of the time since it was confirmed last, a view that gets its changes from the hub knows no more than the hub does.
func (v *View) MarkConfirmed(now, asOf time.Time, h VersionHistory) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addVersionHistory(now, h)
	if since := now.Add(-h.CompleteFor); v.history.since.Before(since) && v.currentAt.Before(since) {
		v.history.restart(since, v.currentAt)
	}
	v.markCurrent(asOf)
}

// addTold adds a time in which all versions are known.
func (h *history) addTold(at, since time.Time) {
	switch {
	case h.toldAt.IsZero() || since.After(h.toldAt) || at.Before(h.toldSince):
		if at.After(h.toldAt) {
			h.toldAt, h.toldSince = at, since
		}
		return
	case at.After(h.toldAt):
		h.toldAt = at
	}
	if since.Before(h.toldSince) {
		h.toldSince = since
	}
}

// extend extends the view's own history by what is known of the time before, if there is no gap.
func (h *history) extend() {
	gap := maxHistoryGap
	if h.hiddenAt.Equal(h.begunAt) {
		gap = 0
	}
	if !h.begunAt.IsZero() && h.toldSince.Before(h.since) && !h.toldAt.Before(h.begunAt.Add(-gap)) {
		h.since = h.toldSince
	}
}

// recordList records that a full list was read. It begins the view's own history anew if the view may have missed
// versions that came and went before the list.
func (v *View) recordList(now time.Time) {
	h := &v.history
	if !h.begunAt.IsZero() && now.Sub(v.currentAt) <= maxHistoryGap && !h.hiddenAt.Equal(now) {
		return
	}
	h.restart(now, v.currentAt)
}

// restart begins the history anew at a time, with what was known until an earlier one.
func (h *history) restart(now, knownUntil time.Time) {
	if !h.begunAt.IsZero() && knownUntil.After(h.since) {
		h.addTold(knownUntil, h.since)
	}
	h.since, h.begunAt = now, now
	h.extend()
}

// VersionHistory returns what this view knows beyond the servers that are listed. A server that is kept although it is
// not listed counts as one that has just gone.
func (v *View) VersionHistory(now time.Time) VersionHistory {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.synced {
		return VersionHistory{}
	}
	h := VersionHistory{CompleteFor: min(now.Sub(v.history.since), HistoryRetention)}
	kept := make(map[ServiceVersion]bool)
	for _, r := range v.records {
		if !r.missingSince.IsZero() {
			kept[ServiceVersion{r.entry.Service, r.entry.SoftwareVersion}] = true
		}
	}
	for key, at := range v.versionsSeen(now) {
		if at.Before(now) || kept[key] {
			h.Gone = append(h.Gone, GoneVersion{Service: key.Service, Version: key.Version, Ago: now.Sub(at)})
		} else {
			h.Listed = append(h.Listed, key)
		}
	}
	return h
}

// versionsSeen returns when each version was last seen, now for those that have a server. v.mu is held.
func (v *View) versionsSeen(now time.Time) map[ServiceVersion]time.Time {
	seen := make(map[ServiceVersion]time.Time)
	for key, at := range v.history.gone {
		if now.Sub(at) > HistoryRetention {
			delete(v.history.gone, key)
			continue
		}
		seen[key] = at
	}
	for _, r := range v.records {
		at := now
		if !r.removedAt.IsZero() {
			at = r.removedAt
		}
		key := ServiceVersion{r.entry.Service, r.entry.SoftwareVersion}
		if at.After(seen[key]) {
			seen[key] = at
		}
	}
	return seen
}

// OnlyVersion returns the software version of all servers of a service that have existed within a time before now,
// and whether there was just one and the view knows that. Servers that drain, have left or can't be read count: they
// may have begun streams.
func (v *View) OnlyVersion(now time.Time, service string, within time.Duration) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.synced || within > HistoryRetention || now.Sub(v.history.since) < within {
		return "", false
	}
	versions := v.versionsWithin(now, service, within)
	if len(versions) != 1 || slices.Contains(versions, "") {
		return "", false
	}
	return versions[0], true
}

// SeveralVersions reports whether servers of a service with more than one software version are known to have existed
// within a time before now.
func (v *View) SeveralVersions(now time.Time, service string, within time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.versionsWithin(now, service, within)) > 1
}

// versionsWithin returns the known software versions of a service within a time before now. v.mu is held.
func (v *View) versionsWithin(now time.Time, service string, within time.Duration) []string {
	var versions []string
	for key, at := range v.versionsSeen(now) {
		if key.Service == service && now.Sub(at) <= within {
			versions = append(versions, key.Version)
		}
	}
	return versions
}
