package peers

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Another writer may replace the lease record. A VM that only refused it would never acquire the lease again, and one that
// took it for that of a free lease would send orders beside the holder.

const (
	// oddHolder stands for the holder that a record which cannot be used does not tell.
	oddHolder = "unknown"
	// maxRecordedTime bounds the times in a record, maxRecordedVMs the numbers of VMs and maxRecordedCount all others.
	// Times and sums of them are then in the range of their types.
	maxRecordedTime  = 366 * 24 * time.Hour
	maxRecordedVMs   = 1 << 20
	maxRecordedCount = 1 << 50
	maxRecordedBytes = 256
	// maxErrorBytes bounds how much of an error about a record is logged.
	maxErrorBytes = 200
)

// decodeRecord decodes a record. It returns an error for one that no VM writes.
func decodeRecord(value []byte) (wire.ControllerLease, error) {
	var record wire.ControllerLease
	if err := json.Unmarshal(value, &record); err != nil {
		return wire.ControllerLease{}, fmt.Errorf("decode lease: %w", err)
	}
	if err := validateRecord(record); err != nil {
		return wire.ControllerLease{}, fmt.Errorf("invalid lease: %w", err)
	}
	return record, nil
}

func validateRecord(r wire.ControllerLease) error {
	if r.Address == "" {
		return trace.BadParameter("address is missing")
	}
	if size := max(len(r.Address), len(r.Holder), len(r.Boot), len(r.Key)); size > maxRecordedBytes {
		return trace.BadParameter("a name has %d bytes", size)
	}
	history := cmp.Or(r.ZVersionHistory, &wire.VersionHistory{})
	const maxMs = int(maxRecordedTime / time.Millisecond)
	for _, n := range [...]struct {
		name       string
		value, max int
	}{
		{"duration", r.DurationMs, maxMs}, {"handover", r.ZzzzHandoverMs, maxMs}, {"complete time of the history", history.CompleteMs, maxMs},
		{"renewals", r.Renewals, maxRecordedCount}, {"era", r.ZzzzEra, maxRecordedCount}, {"fencing token", r.ZzzzLeastToken, maxRecordedCount},
		{"time of the history", history.AsOfMs, maxRecordedCount},
		{"VMs", r.Vms, maxRecordedVMs}, {"VMs that divide", r.ZzAllotmentVms, maxRecordedVMs}, {"settled VMs", r.ZzSettledVms, maxRecordedVMs},
	} {
		if n.value < 0 || n.value > n.max {
			return trace.BadParameter("%s %d is out of range", n.name, n.value)
		}
	}
	for _, g := range history.Gone {
		if g.AgoMs < 0 || g.AgoMs > maxMs {
			return trace.BadParameter("age %d of a version is out of range", g.AgoMs)
		}
	}
	return nil
}

// observeOdd applies that a record was read which cannot be used. A VM that is not known may hold the lease, as if it had
// just renewed it, and what else was known holds. l.mu must be held.
func (l *Lease) observeOdd(version int, err error) {
	if observed, _ := l.keeper.Version(); version == observed && l.record.Holder == oddHolder {
		return
	}
	l.Log.Error().Int("version", version).Str("error", fmt.Sprintf("%.*s", maxErrorBytes, err)).Msg("controller lease can not be read; it is replaced once it must have expired")
	era, revision := store.SplitVersion(version)
	l.observe(version, wire.ControllerLease{
		Holder: oddHolder, DurationMs: max(l.record.DurationMs, int(l.Duration.Milliseconds())), ZzzzEra: era,
		// The term may be one whose token exceeds the revision, as the store came back from copies.
		ZzzzLeastToken: max(l.record.ZzzzLeastToken, revision) + 2*era*lostTokens,
		Vms:            l.record.Vms, ZzDomainVms: l.record.ZzDomainVms, ZzAllotmentVms: l.record.ZzAllotmentVms, ZzSettledVms: l.record.ZzSettledVms,
	})
}
