package peers

import (
	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// lostTokens is by how much the token of a term exceeds all known ones for each time that the store has come back
// from a copy since. Those it lost are revisions; it would take a thousand changes a second for a quarter of an
// hour to give out as many.
const lostTokens = 1 << 20

// knownTokens chooses fencing tokens that are higher than all before: the revision of the acquisition where that
// is higher, so that VMs of builds whose tokens are revisions can follow, else the next number. The zero value
// knows none.
type knownTokens struct {
	// highest is no lower than the token of any term known, era the latest era of the store observed, if any was.
	highest, era int
	observed     bool
}

// observe records the token of the term of a record with a version. The record may be that of a copy, which lacks
// the terms that followed it in the eras since, and so may what is known from earlier eras. Of a record of an older
// build, which tells no era, nothing is assumed: its revisions would never catch up. It reports whether the version is
// of a later era than all before.
func (t *knownTokens) observe(version int, record wire.ControllerLease) (restored bool) {
	era, revision := store.SplitVersion(version)
	restored = t.observed && era > t.era
	if restored {
		t.highest += (era - t.era) * lostTokens
	}
	recorded := max(revision, record.ZzzzLeastToken)
	if isCopied(version, record) {
		recorded += (era - record.ZzzzEra) * lostTokens
	}
	t.highest, t.era, t.observed = max(t.highest, recorded), max(t.era, era), t.observed || version != 0
	return restored
}

// next returns the least token of a term that begins with a write on a version. A record that is no longer there
// may have been lost with later ones.
func (t *knownTokens) next(version int) int {
	if version == 0 && t.highest > 0 {
		return t.highest + lostTokens
	}
	return t.highest + 1
}
