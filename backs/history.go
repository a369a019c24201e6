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
}

// GoneVersion is a software version of which a service has no server any more.
type GoneVersion struct {
	Service, Version string
	// Ago is how long the last server had been gone when the history was made.
	Ago time.Duration
}

// maxHistoryGap is the longest time between a history and the view's own first list for which the history counts. A
// server that was in use in between is still listed after it: entries last longer without a heartbeat.
const maxHistoryGap = 2500 * time.Millisecond

// historyRetention is how long versions that have gone are kept. Streams may last that long.
const historyRetention = 24 * time.Hour

// serviceVersion is a software version of a service.
type serviceVersion struct{ service, version string }

// history is a part of View.
type history struct {
	// since is the time since which the view knows all versions that have existed.
	since time.Time
	// gone is when the last server of a version was seen, for those without a record.
	gone map[serviceVersion]time.Time
	// pending is what other VMs told before the first list.
	pendingAt, pendingSince time.Time
}

// addGone records that a version was last seen at a time.
func (h *history) addGone(key serviceVersion, seen time.Time) {
	if h.gone == nil {
		h.gone = make(map[serviceVersion]time.Time)
	}
	if seen.After(h.gone[key]) {
		h.gone[key] = seen
	}
}

// AddVersionHistory applies the history that another VM has told.
func (v *View) AddVersionHistory(now time.Time, h VersionHistory) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := now.Add(-h.Age)
	for _, g := range h.Gone {
		v.history.addGone(serviceVersion{g.Service, g.Version}, at.Add(-g.Ago))
	}
	since := at.Add(-h.CompleteFor)
	if !v.synced {
		v.history.pendingAt, v.history.pendingSince = at, since
		return
	}
	v.extendHistory(at, since)
}

// beginHistory begins the view's own history with its first list.
func (v *View) beginHistory(now time.Time) {
	v.history.since = now
	if !v.history.pendingAt.IsZero() {
		v.extendHistory(v.history.pendingAt, v.history.pendingSince)
	}
}

func (v *View) extendHistory(at, since time.Time) {
	if since.Before(v.history.since) && !at.Before(v.syncedAt.Add(-maxHistoryGap)) {
		v.history.since = since
	}
}

// VersionHistory returns what this view knows beyond the servers that are listed. A server that is kept although it is
// not listed counts as one that has just gone.
func (v *View) VersionHistory(now time.Time) VersionHistory {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.synced {
		return VersionHistory{}
	}
	h := VersionHistory{CompleteFor: min(now.Sub(v.history.since), historyRetention)}
	kept := make(map[serviceVersion]bool)
	for _, r := range v.records {
		if !r.missingSince.IsZero() {
			kept[serviceVersion{r.entry.Service, r.entry.SoftwareVersion}] = true
		}
	}
	for key, at := range v.versionsSeen(now) {
		if at.Before(now) || kept[key] {
			h.Gone = append(h.Gone, GoneVersion{Service: key.service, Version: key.version, Ago: now.Sub(at)})
		}
	}
	return h
}

// versionsSeen returns when each version was last seen, now for those that have a server. v.mu is held.
func (v *View) versionsSeen(now time.Time) map[serviceVersion]time.Time {
	seen := make(map[serviceVersion]time.Time)
	for key, at := range v.history.gone {
		if now.Sub(at) > historyRetention {
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
		key := serviceVersion{r.entry.Service, r.entry.SoftwareVersion}
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
	if !v.synced || within > historyRetention || now.Sub(v.history.since) < within {
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
		if key.service == service && now.Sub(at) <= within {
			versions = append(versions, key.version)
		}
	}
	return versions
}
