package backs_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Guards against a view that takes the list of a store which came back from a copy for complete: servers that joined after
// the copy write their entries again within seconds.
func TestListOfCopyIsNotCurrent(t *testing.T) {
	var v backs.View
	v.Replace(at(1), []backs.Entry{versionEntry("a", "v1")})
	v.MarkCurrent(at(99))
	v.MarkRestored(at(100))
	v.Replace(at(100), []backs.Entry{versionEntry("a", "v1")})
	v.MarkCurrent(at(99.9))
	v.MarkCurrent(at(101))
	require.Equal(t, at(99), v.CurrentAt())
	v.MarkCurrent(at(103))
	require.Equal(t, at(103), v.CurrentAt())
}
