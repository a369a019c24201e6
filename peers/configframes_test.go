package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
)

// After a change of the controller all VMs link to the new one at once. Guards against a hub that compresses the same
// configuration for each of them, while its own requests wait for the lock.
func TestConfigurationIsCompressedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newUnlinkedVM(&now)
	revision, value := 5, []byte("first")
	p.Config = func() (int, []byte) { return revision, value }
	sent := func() []byte {
		frames, _, err := p.fullState(nil)
		require.NoError(t, err)
		return frames[0]
	}
	require.Same(t, &sent()[0], &sent()[0])
	for _, next := range []struct {
		revision int
		value    string
	}{{6, "first"}, {6, "later"}, {5, "first"}, {7, "first"}} {
		revision, value = next.revision, []byte(next.value)
		m, err := link.Decode(sent())
		require.NoError(t, err)
		require.Equal(t, next.revision, m.ConfigState.Revision)
		got, err := decompressConfig(m.ConfigState)
		require.NoError(t, err)
		require.Equal(t, next.value, string(got))
	}
}
