package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

func versionEntry(id, version string) backs.Entry {
	e := entry(id)
	e.SoftwareVersion = version
	return e
}

// Guards against a stream that goes on at the only version that is left: a version counts for as long as its streams
// may last, also if its servers drain, have left, or left before this process started.
func TestOnlyVersion(t *testing.T) {
	const life = 30 * time.Second
	service := entry("a").Service
	tests := map[string]struct {
		change func(v *backs.View)
		want   bool
	}{
		"one version": {func(*backs.View) {}, true},
		"another version is there": {func(v *backs.View) {
			v.Put(at(100), versionEntry("b", "v2"))
		}, false},
		"another version drains": {func(v *backs.View) {
			e := versionEntry("b", "v2")
			e.Draining = true
			v.Put(at(100), e)
		}, false},
		"another version has just left": {func(v *backs.View) {
			v.Put(at(75), versionEntry("b", "v2"))
			v.Remove(at(80), "b")
		}, false},
		"another version left long ago": {func(v *backs.View) {
			v.Put(at(60), versionEntry("b", "v2"))
			v.Remove(at(69), "b")
		}, true},
		"another version left before the process started": {func(v *backs.View) {
			v.AddVersionHistory(at(90), backs.VersionHistory{Gone: []backs.GoneVersion{{Service: service, Version: "v2", Ago: 5 * time.Second}}})
		}, false},
		"a version is unknown": {func(v *backs.View) {
			v.Put(at(100), versionEntry("b", ""))
		}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := &backs.View{}
			v.Replace(at(1), []backs.Entry{versionEntry("a", "v1")})
			tc.change(v)
			version, ok := v.OnlyVersion(at(100), service, life)
			require.Equal(t, tc.want, ok)
			if ok {
				require.Equal(t, "v1", version)
			}
		})
	}
}

// Guards against a process that takes the versions since its start for all there were. What another one knew counts
// if it was made shortly before the first list, by this process or by the one that it was told by.
func TestVersionHistoryOutlivesProcess(t *testing.T) {
	const life = 30 * time.Second
	service := entry("a").Service
	tests := map[string]struct {
		age  time.Duration
		want bool
	}{
		"made just before the start": {time.Second, true},
		"made too long before":       {4 * time.Second, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			earlier := &backs.View{}
			earlier.Replace(at(1), []backs.Entry{versionEntry("a", "v1"), versionEntry("b", "v2")})
			earlier.Remove(at(10), "b")
			h := earlier.VersionHistory(at(50))
			require.Equal(t, []backs.GoneVersion{{Service: service, Version: "v2", Ago: 40 * time.Second}}, h.Gone)
			h.Age = tc.age
			later := &backs.View{}
			later.AddVersionHistory(at(52), h)
			_, ok := later.OnlyVersion(at(52), service, life)
			require.False(t, ok, "nothing is known of the servers yet")
			later.Replace(at(52), []backs.Entry{versionEntry("a", "v1")})
			_, ok = later.OnlyVersion(at(53), service, life)
			require.Equal(t, tc.want, ok)
			_, ok = later.OnlyVersion(at(53), service, 50*time.Second)
			require.False(t, ok, "the other version was there")
			linked := &backs.View{}
			linked.Replace(at(53), []backs.Entry{versionEntry("a", "v1")})
			linked.AddVersionHistory(at(53), later.VersionHistory(at(53)))
			_, ok = linked.OnlyVersion(at(53), service, life)
			require.Equal(t, tc.want, ok)
		})
	}
}

// Guards against a version that is forgotten with the records of its servers while its streams may still be taken up.
func TestGoneVersionOutlivesRecords(t *testing.T) {
	v := &backs.View{}
	v.Replace(at(1), []backs.Entry{versionEntry("a", "v1"), versionEntry("b", "v2")})
	v.Remove(at(2), "b")
	v.Usable(at(1000), "a")
	require.Equal(t, 1, v.Count())
	_, ok := v.OnlyVersion(at(1001), entry("a").Service, 999500*time.Millisecond)
	require.False(t, ok)
	version, ok := v.OnlyVersion(at(1001), entry("a").Service, 900*time.Second)
	require.True(t, ok)
	require.Equal(t, "v1", version)
}
