package store_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/store"
)

// Guards against taking what a store wrote after it came back from a copy for older than what it lost.
func TestVersionsOrderEras(t *testing.T) {
	cases := map[string]struct{ era, revision, laterEra, laterRevision int }{
		"same era":               {era: 3, revision: 88, laterEra: 3, laterRevision: 89},
		"lower revision":         {era: 1, revision: 94, laterEra: 2, laterRevision: 67},
		"same revision":          {era: 1, revision: 94, laterEra: 2, laterRevision: 94},
		"store without eras":     {revision: 1, laterRevision: 2},
		"eras begin":             {revision: 1 << 30, laterEra: 1, laterRevision: 1},
		"many eras and revision": {era: 4000, revision: 1<<40 - 1, laterEra: 4001},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before, after := store.VersionOf(c.era, c.revision), store.VersionOf(c.laterEra, c.laterRevision)
			require.Less(t, before, after)
			era, revision := store.SplitVersion(after)
			require.Equal(t, c.laterEra, era)
			require.Equal(t, c.laterRevision, revision)
		})
	}
}
