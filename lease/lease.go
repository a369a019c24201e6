// Package lease decides when a VM may take, renews or has lost a lease that is
// kept in an object of the platform. It does no I/O and reads no clock.
//
// A lease saves work: it keeps two VMs from doing the same job. It protects
// nothing. A holder that was paused may believe in a lease that another has
// taken; what it does then must be stopped by a conditional update or by a
// fencing number.
package lease

import "time"

// Record is the lease as it is stored.
type Record struct {
	Holder string `json:"holder"`
	// Boot tells apart two runs of the same holder.
	Boot string `json:"boot"`
	// DurationMs is how long the lease lasts after each renewal.
	DurationMs int `json:"duration_ms"`
	// Renewals counts the renewals, so that each changes the object.
	Renewals int `json:"renewals"`
}

// Action is what to do next.
type Action int

const (
	// Wait means that there is nothing to do.
	Wait Action = iota
	// Take means to write a Record in the holder's name, on the version seen.
	Take
	// Renew means to write the next Record, on the version held.
	Renew
)

// Keeper follows one lease for one VM. Name, Boot and Duration must be set.
type Keeper struct {
	Name     string
	Boot     string
	Duration time.Duration
	// Drift is the part of Duration allowed for clocks that run at different
	// speeds; 0 takes a tenth.
	Drift time.Duration

	record  Record
	version int
	// changed is when this VM saw the present version first: the holder
	// renewed before then, so the lease ends at the latest Duration after it.
	changed time.Time
	// renewed is when the holder's own last winning update was begun.
	renewed time.Time
	held    bool
	seen    bool
}

func (k *Keeper) drift() time.Duration {
	if k.Drift > 0 {
		return k.Drift
	}
	return k.Duration / 10
}

// Observe takes in what the platform holds: version 0 for no object.
func (k *Keeper) Observe(now time.Time, version int, r Record) {
	if k.seen && version == k.version {
		return
	}
	if k.seen && version != 0 && version < k.version {
		return
	}
	k.seen = true
	k.version, k.record, k.changed = version, r, now
	if r.Holder != k.Name || r.Boot != k.Boot {
		k.held = false
	}
}

// Next returns what to do now.
func (k *Keeper) Next(now time.Time) Action {
	if !k.seen {
		return Wait
	}
	if k.held {
		if now.Sub(k.renewed) >= k.Duration/3 {
			return Renew
		}
		return Wait
	}
	own := k.record.Holder == k.Name && k.record.Boot == k.Boot
	if k.version == 0 || k.record.Holder == "" || own {
		return Take
	}
	// The holder stops at Duration less Drift by its own clock after it began
	// to renew; waiting Duration plus Drift from when the renewal was seen
	// leaves it time even when this clock runs faster.
	length := time.Duration(k.record.DurationMs) * time.Millisecond
	if now.Sub(k.changed) >= length+k.drift() {
		return Take
	}
	return Wait
}

// Record returns the record to write for Take or Renew, and the version it is
// conditional on.
func (k *Keeper) Record() (Record, int) {
	r := Record{Holder: k.Name, Boot: k.Boot, DurationMs: int(k.Duration.Milliseconds()), Renewals: k.record.Renewals + 1}
	return r, k.version
}

// Released returns the record that gives the lease up.
func (k *Keeper) Released() (Record, int) {
	return Record{DurationMs: 0, Renewals: k.record.Renewals + 1}, k.version
}

// Won notes that the update begun at a time took effect.
func (k *Keeper) Won(begun time.Time, version int, r Record) {
	k.seen = true
	k.version, k.record = version, r
	k.changed, k.renewed = begun, begun
	k.held = r.Holder == k.Name && r.Boot == k.Boot
}

// Lost notes that the update did not take effect, or that its fate is unknown;
// the lease is observed anew before the next step.
func (k *Keeper) Lost() { k.seen = false }

// Version returns the version of the record that is known, and its renewals.
func (k *Keeper) Version() (version, renewals int) { return k.version, k.record.Renewals }

// Changed returns when this VM saw the present version first.
func (k *Keeper) Changed() time.Time { return k.changed }

// Known reports whether the present version of the record is known.
func (k *Keeper) Known() bool { return k.seen }

// Held reports whether the lease is surely held now.
func (k *Keeper) Held(now time.Time) bool {
	return k.held && now.Sub(k.renewed) < k.Duration-k.drift()
}
