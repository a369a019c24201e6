package peers

import (
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// isCopied reports whether a record was written in an earlier era of the store than that of its version, so that it is
// some seconds old. That is not known of a record of an older build, which has no least token, and of the first one of a
// deployment, which was conditional on no version.
func isCopied(version int, record wire.ControllerLease) bool {
	era, _ := store.SplitVersion(version)
	return record.ZzzzLeastToken > 0 && record.Renewals > 1 && record.ZzzzEra < era
}

// startRecord returns what a process that starts may use of the first record that it reads: of a copied one not what was
// left of the quotas, as the teams may have used it since.
func startRecord(version int, record wire.ControllerLease) wire.ControllerLease {
	if isCopied(version, record) {
		record.QuotaLevels = nil
	}
	return record
}

// withKnown returns a record as it is to be used. Of a copied one, the history of versions is not complete. A VM that has
// known other records before also keeps what it has learned since the copy was made: which requests and parts of prompts
// are blocked, and by which number VMs divide. l.mu must be held.
func (l *Lease) withKnown(version int, record wire.ControllerLease) wire.ControllerLease {
	if !isCopied(version, record) {
		return record
	}
	if record.ZVersionHistory != nil {
		incomplete := *record.ZVersionHistory
		incomplete.CompleteMs = 0
		record.ZVersionHistory = &incomplete
	}
	if l.tokens.observed {
		record.Blocked, record.ZzzBlockedParts = nil, nil
		record.ZzAllotmentVms = max(record.ZzAllotmentVms, l.record.ZzAllotmentVms)
	}
	return record
}
