package node

import (
	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/store"
)

// loggedVersion logs a version of the store as its era and its revision.
type loggedVersion int

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (v loggedVersion) MarshalZerologObject(e *zerolog.Event) {
	era, revision := store.SplitVersion(int(v))
	e.Int("era", era).Int("version", revision)
}

// recordEra records the era of a version that the store shows. If it is later than those of the versions that this VM
// read before, the store has come back from a copy.
func (n *Node) recordEra(kind string, version int) {
	era, revision := store.SplitVersion(version)
	n.mu.Lock()
	before, restored := n.storeEra, n.storeRead && era > n.storeEra
	n.storeEra, n.storeRead = max(era, before), true
	n.mu.Unlock()
	if !restored {
		return
	}
	n.serverView.MarkRestored(n.now())
	n.log.Warn().Str("kind", kind).Int("era_before", before).Int("era", era).Int("version", revision).Msg("store came back from a copy")
}
