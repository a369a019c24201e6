// Package lease decides when a VM may acquire, must renew or has lost a lease that is
// stored in an object of the platform. It does no I/O and reads no clock.
//
// The store may come back from a copy and begin a new era, see package store. It then lacks the
// last renewals or names an earlier holder, while the holder that it lost counts on its lease. A
// record that was not written in the era of its version is therefore no VM's own: whoever finds it
// waits as if another VM had just renewed, unless it holds the lease itself.
//
// A lease only avoids duplicate work: it keeps two VMs from doing the same job. It
// guarantees no mutual exclusion. A holder that was paused may act on a lease that another
// VM has acquired since, so its writes must be guarded by a conditional update or a fencing
// token.
package lease

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/store"
)

// Record is the lease as stored.
type Record struct {
	Holder string `json:"holder"`
	// BootID distinguishes process runs of the same holder.
	BootID string `json:"boot"`
	// DurationMs is how long the lease lasts after each renewal.
	DurationMs int `json:"duration_ms"`
	// Renewals counts the renewals, so that each one changes the object.
	Renewals int `json:"renewals"`
	// Era is the era of the version on which the write was conditional.
	Era int `json:"era,omitempty"`
}

// Action is the next step of a Keeper.
type Action int

const (
	// Wait means that there is nothing to do.
	Wait Action = iota
	// Acquire means to write a Record with this holder, conditional on the observed
	// version.
	Acquire
	// Renew means to write the next Record, conditional on the held version.
	Renew
)

// Keeper tracks one lease for one VM. Name, BootID and Duration must be set.
type Keeper struct {
	Name     string
	BootID   string
	Duration time.Duration
	// MaxClockDrift is the part of Duration reserved for differences in clock speed; 0
	// selects a tenth.
	MaxClockDrift time.Duration

	record  Record
	version int
	// observedAt is when this VM first observed the current version. The holder renewed
	// before then, so the lease ends no later than Duration after it.
	observedAt time.Time
	// renewedAt is when the last successful update of this holder was started.
	renewedAt time.Time
	held      bool
	observed  bool
	// restored is set if the record observed last may lack later ones, see Restored.
	restored bool
}

func (k *Keeper) drift() time.Duration {
	if k.MaxClockDrift > 0 {
		return k.MaxClockDrift
	}
	return k.Duration / 10
}

// Observe records the object as read from the platform; version 0 means that it does not
// exist.
func (k *Keeper) Observe(now time.Time, version int, r Record) {
	if k.observed && version == k.version {
		return
	}
	if k.observed && version != 0 && version < k.version {
		return
	}
	k.observed = true
	k.restored = isRestored(version, r) || version == 0 && (k.version != 0 || k.restored)
	k.version, k.record, k.observedAt = version, r, now
	if r.Holder != k.Name || r.BootID != k.BootID {
		k.held = false
	}
}

// isRestored reports whether a record was written in an earlier era of the store than that of its
// version.
func isRestored(version int, r Record) bool {
	era, _ := store.SplitVersion(version)
	return version != 0 && r.Era != era
}

// Restored reports whether the store has come back from a copy that may lack later records than the
// one last observed. Another VM may have held the lease until shortly before then.
func (k *Keeper) Restored() bool { return k.restored }

// nextRestored is Next after Restored. A VM that holds the lease acquires it in the new era: what it
// is sure of does not depend on the store. All others wait until any lost lease has expired.
func (k *Keeper) nextRestored(now time.Time) Action {
	wait := k.longestLost()
	if k.record.Holder != k.Name || k.record.BootID != k.BootID {
		wait += k.drift()
	}
	if k.Held(now) || now.Sub(k.observedAt) >= wait {
		return Acquire
	}
	return Wait
}

// longestLost returns how long a lease may last of which the store has lost the record.
func (k *Keeper) longestLost() time.Duration {
	return max(k.Duration, time.Duration(k.record.DurationMs)*time.Millisecond)
}

// Next returns the action due now.
func (k *Keeper) Next(now time.Time) Action {
	if !k.observed {
		return Wait
	}
	if k.restored {
		return k.nextRestored(now)
	}
	if k.held {
		if now.Sub(k.renewedAt) >= k.Duration/3 {
			return Renew
		}
		return Wait
	}
	ownRecord := k.record.Holder == k.Name && k.record.BootID == k.BootID
	if k.version == 0 || k.record.Holder == "" || ownRecord {
		return Acquire
	}
	// The holder stops at Duration less MaxClockDrift by its own clock after it started the
	// renewal. Waiting for Duration plus MaxClockDrift from the observation of the renewal
	// leaves the holder enough time even when this clock runs faster.
	duration := time.Duration(k.record.DurationMs) * time.Millisecond
	if now.Sub(k.observedAt) >= duration+k.drift() {
		return Acquire
	}
	return Wait
}

// NextRecord returns the record to write for Acquire or Renew, and the version on which the
// write is conditional.
func (k *Keeper) NextRecord() (Record, int) {
	era, _ := store.SplitVersion(k.version)
	r := Record{Holder: k.Name, BootID: k.BootID, DurationMs: int(k.Duration.Milliseconds()), Renewals: k.record.Renewals + 1, Era: era}
	return r, k.version
}

// ReleaseRecord returns the record that releases the lease, and the version on which the
// write is conditional.
func (k *Keeper) ReleaseRecord() (Record, int) {
	era, _ := store.SplitVersion(k.version)
	return Record{DurationMs: 0, Renewals: k.record.Renewals + 1, Era: era}, k.version
}

// UpdateSucceeded records that the update started at the given time succeeded.
func (k *Keeper) UpdateSucceeded(startedAt time.Time, version int, r Record) {
	k.observed, k.restored = true, false
	k.version, k.record = version, r
	k.observedAt, k.renewedAt = startedAt, startedAt
	k.held = r.Holder == k.Name && r.BootID == k.BootID
}

// UpdateFailed records that the update failed or that its outcome is unknown. The lease
// must be observed again before the next action.
func (k *Keeper) UpdateFailed() { k.observed = false }

// Version returns the version and the renewal count of the last observed record.
func (k *Keeper) Version() (version, renewals int) { return k.version, k.record.Renewals }

// ObservedAt returns when this VM first observed the current version.
func (k *Keeper) ObservedAt() time.Time { return k.observedAt }

// Observed reports whether the current version has been observed since the last failed
// update.
func (k *Keeper) Observed() bool { return k.observed }

// Held reports whether the lease is certainly held now.
func (k *Keeper) Held(now time.Time) bool {
	return k.held && now.Sub(k.renewedAt) < k.Duration-k.drift()
}
