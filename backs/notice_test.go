package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Guards against forgetting that a server has said that it leaves when something says later that it is
// ready: what the store holds is older, as a server that leaves may not reach the store.
func TestLeavingServerStaysUnused(t *testing.T) {
	ready := []backs.State{{Entry: entry("a")}}
	tests := map[string]func(v *backs.View){
		"entry of a late heartbeat": func(v *backs.View) { v.Put(at(2), entry("a")) },
		"full list of the store":    func(v *backs.View) { v.Replace(at(2), []backs.Entry{entry("a")}) },
		"update of the hub":         func(v *backs.View) { v.Merge(at(2), backs.Update{States: ready, Full: false}) },
		"full list of a new hub":    func(v *backs.View) { v.Merge(at(2), backs.Update{States: ready, Full: true}) },
		"entry removed and stored again": func(v *backs.View) {
			v.Remove(at(2), "a")
			v.Put(at(9), entry("a"))
		},
		"removed for longer than records are kept": func(v *backs.View) {
			v.Remove(at(2), "a")
			for s := 125; s < 140; s++ {
				v.Serving(at(float64(s)), "s")
			}
			v.Put(at(140), entry("a"))
		},
		"a response without the word": func(v *backs.View) { v.ApplyNotice(at(2), "a", backs.Notice{}) },
		"lapsed while the store was away": func(v *backs.View) {
			v.MarkStoreUnreachable()
			v.Remove(at(5), "a")
			v.RecordStoreAnswer(at(6))
			v.Put(at(7), entry("a"))
		},
	}
	for name, later := range tests {
		t.Run(name, func(t *testing.T) {
			var v backs.View
			v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
			v.ApplyNotice(at(1), "a", backs.Notice{Leaving: true})
			require.False(t, v.Usable(at(1), "a"))
			later(&v)
			require.False(t, v.Usable(at(100), "a"))
			require.False(t, v.MaySend(at(200), "a"))
		})
	}
}

// Guards against keeping a server that starts again under its name and address unused because its previous
// process has left.
func TestLeavingEndsWithInstance(t *testing.T) {
	var v backs.View
	before, after := started("a", at(-10)), started("a", at(3))
	v.Replace(at(0), []backs.Entry{before})
	v.ApplyNotice(at(1), before.ID, backs.Notice{Leaving: true})
	v.Put(at(4), after)
	require.True(t, v.MaySend(at(4), after.ID))
	v.ApplyNotice(at(5), before.ID, backs.Notice{Leaving: true})
	require.True(t, v.MaySend(at(5), after.ID), "a late response of the previous process")
}

// Guards against keeping to one VM that a server leaves: the VMs above it, those below, and a hub that
// took over without having been told must all learn of it.
func TestLeavingReachesOtherVMs(t *testing.T) {
	var vm, hub, other, nextHub backs.View
	for _, v := range []*backs.View{&vm, &hub, &other, &nextHub} {
		v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	}
	_, told := hub.Since(at(0), 0)
	vm.ApplyNotice(at(1), "a", backs.Notice{Leaving: true})
	report := vm.TakeLeaving()
	require.Equal(t, []string{"a"}, report)
	require.Empty(t, vm.TakeLeaving(), "reported once on a link")
	hub.AddLeaving(at(1), report)
	require.False(t, hub.Usable(at(1), "a"))
	require.Equal(t, []string{"a"}, hub.TakeLeaving(), "a relay reports it further")

	states, _ := hub.Since(at(1), told)
	other.Merge(at(1), backs.Update{States: states, Full: false})
	require.False(t, other.Usable(at(1), "a"))
	require.True(t, other.Usable(at(1), "b"))

	other.MarkLeavingUnreported(at(2))
	nextHub.AddLeaving(at(2), other.TakeLeaving())
	require.False(t, nextHub.Usable(at(2), "a"), "told by a VM that had no response itself")
}

// Guards against losing a report about a server that the hub does not list yet.
func TestLeavingReportedBeforeEntry(t *testing.T) {
	var hub backs.View
	hub.Replace(at(0), []backs.Entry{entry("b")})
	hub.AddLeaving(at(1), []string{"a"})
	hub.Put(at(2), entry("a"))
	require.False(t, hub.Usable(at(2), "a"))
}

// Guards against logging a notice never, or at each response.
func TestNoticeChangesAreReportedOnce(t *testing.T) {
	var changes []backs.NoticeChange
	v := backs.View{OnNotice: func(c backs.NoticeChange) { changes = append(changes, c) }}
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b"), entry("c")})
	leaving := backs.Notice{Leaving: true}
	for range 3 {
		v.ApplyNotice(at(1), "a", leaving)
		v.AddLeaving(at(1), []string{"b"})
		draining := entry("c")
		draining.Draining = true
		v.Merge(at(1), backs.Update{States: []backs.State{{Entry: draining}}})
	}
	require.Equal(t, []backs.NoticeChange{
		{Notice: leaving, ID: "a", Source: backs.FromResponse}, {Notice: leaving, ID: "b", Source: backs.FromReport}, {Notice: leaving, ID: "c", Source: backs.FromHub},
	}, changes)
}

// Guards against a placement that goes on with a server that leaves, as its stored entry says ready.
func TestStoredEntryOfLeavingServer(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a")})
	v.ApplyNotice(at(1), "a", backs.Notice{Leaving: true})
	require.True(t, v.StoredEntries(at(1))[0].Draining)
	v.Put(at(2), entry("a"))
	require.True(t, v.StoredEntries(at(2))[0].Draining)
	require.True(t, v.All(at(2))[0].Draining)
}

// Guards against ending a rest early, and against a rest without an end.
func TestRestOfServer(t *testing.T) {
	rest := func(s float64) backs.Notice { return backs.Notice{Rest: time.Duration(s * float64(time.Second))} }
	tests := map[string]struct {
		during func(v *backs.View)
		endsAt float64
	}{
		"one refusal":                    {func(*backs.View) {}, 4},
		"a shorter rest asked for later": {func(v *backs.View) { v.ApplyNotice(at(2), "a", rest(0.5)) }, 4},
		"a longer rest asked for later":  {func(v *backs.View) { v.ApplyNotice(at(2), "a", rest(5)) }, 7},
		"a response without the word":    {func(v *backs.View) { v.ApplyNotice(at(2), "a", backs.Notice{}) }, 4},
		"a heartbeat":                    {func(v *backs.View) { v.Put(at(2), entry("a")) }, 4},
		"a full list of another VM": {func(v *backs.View) {
			v.Merge(at(2), backs.Update{States: []backs.State{{Entry: entry("a")}, {Entry: entry("b")}}, Full: true})
		}, 4},
		"a day":                             {func(v *backs.View) { v.ApplyNotice(at(2), "a", rest(86400)) }, 86402},
		"an entry removed and stored again": {func(v *backs.View) { v.Remove(at(2), "a"); v.Put(at(3), entry("a")) }, 7},
		"an entry that is gone for some time": {func(v *backs.View) {
			v.ApplyNotice(at(2), "a", rest(600))
			v.Remove(at(3), "a")
			v.Serving(at(300), "s")
			v.Put(at(301), entry("a"))
		}, 602},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var v backs.View
			v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
			v.ApplyNotice(at(1), "a", rest(3))
			tc.during(&v)
			require.False(t, v.MaySend(at(tc.endsAt-0.001), "a"))
			require.True(t, v.MaySend(at(tc.endsAt), "a"))
			require.True(t, v.MaySend(at(2), "b"))
		})
	}
}

// Guards against telling other VMs of a rest that a server asked this VM for, and against a rest that goes
// on when the server has started again.
func TestRestConcernsOneVMAndOneInstance(t *testing.T) {
	var v, other backs.View
	before, after := started("a", at(-10)), started("a", at(2))
	v.Replace(at(0), []backs.Entry{before})
	_, told := v.Since(at(0), 0)
	v.ApplyNotice(at(1), before.ID, backs.Notice{Rest: time.Hour})
	require.Equal(t, time.Hour, v.RestRemaining(at(1), before.ID))
	states, _ := v.Since(at(1), told)
	require.Empty(t, states)
	require.Empty(t, v.TakeLeaving())
	states, _ = v.Since(at(1), 0)
	other.Merge(at(1), backs.Update{States: states, Full: true})
	require.True(t, other.MaySend(at(1), before.ID))
	require.True(t, v.Usable(at(1), before.ID), "the server has not failed")
	v.Put(at(3), after)
	require.True(t, v.MaySend(at(3), after.ID))
}
