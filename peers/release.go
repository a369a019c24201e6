package peers

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/lease"
)

// Release gives the lease up, so that another VM can acquire it at once.
func (l *Lease) Release(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	l.mu.Lock()
	if !l.keeper.Held(l.Now()) {
		l.mu.Unlock()
		return nil
	}
	l.releasing, l.handover.heldAt = true, time.Time{}
	startedAt := l.Now()
	next, version := l.keeper.ReleaseRecord()
	// The next holder needs the address, to wait for the last order of this term, and VMs the key.
	record := l.record
	record.Holder, record.Boot, record.DurationMs, record.Renewals, record.ZzzzEra = "", "", 0, next.Renewals, next.Era
	record.Address, record.Key = l.Address, l.key
	l.mu.Unlock()
	newVersion, err := l.Objects.Put(ctx, leaseKind, leaseName, version, record)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releasing = false
	if err != nil {
		l.keeper.UpdateFailed()
		return fmt.Errorf("write lease: %w", err)
	}
	l.keeper.UpdateSucceeded(startedAt, newVersion, next)
	l.setRecord(record)
	l.expiredSince = time.Time{}
	l.Log.Info().Int("version", newVersion).Msg("controller lease released")
	return nil
}

// Released reports whether the record last observed is that of a released lease.
func (l *Lease) Released() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Observed() && l.record.Holder == "" && l.record.Address != ""
}

// Extend renews the lease one last time, long enough for the process to restart and continue with it.
// A restart takes one second. A change of controller takes the lease duration plus the handover time,
// during which no model is loaded or unloaded. Extend reports whether this VM held the lease.
func (l *Lease) Extend(ctx context.Context, duration time.Duration) bool {
	l.mu.Lock()
	held := l.keeper.Held(l.Now())
	l.keeper.Duration = duration
	l.mu.Unlock()
	if !held {
		return false
	}
	if err := l.write(ctx, lease.Renew); err != nil {
		l.Log.Info().Err(err).Msg("extending the controller lease failed")
	}
	return true
}
