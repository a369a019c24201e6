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

// recordEra logs that the store has come back from a copy if a version that it shows is of another era than the
// versions that this VM read before.
func (n *Node) recordEra(kind string, version int) {
	era, revision := store.SplitVersion(version)
	n.mu.Lock()
	before, known := n.storeEra, n.storeRead
	n.storeEra, n.storeRead = era, true
	n.mu.Unlock()
	if known && era != before {
		n.log.Warn().Str("kind", kind).Int("era_before", before).Int("era", era).Int("version", revision).Msg("store came back from a copy")
	}
}
