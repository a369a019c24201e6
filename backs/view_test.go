package backs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func entry(id string) backs.Entry {
	return backs.Entry{ID: id, Service: "s", Address: "127.0.0.1:1"}
}

// A server leaves; then a heartbeat from before arrives late and says that it
// is ready. Callers sent there would be cut off when it exits. Draining is for
// good, so the late heartbeat changes nothing.
func TestDrainingIsForGood(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a")})
	require.True(t, v.Usable(at(0), "a"))
	e := entry("a")
	e.Draining = true
	v.Put(at(1), e)
	require.False(t, v.Usable(at(1), "a"))
	v.Put(at(2), entry("a"))
	require.False(t, v.Usable(at(2), "a"))
	require.False(t, v.Usable(at(20), "a"))
}

// A server that never says that it drains has its entry removed, and a late
// heartbeat makes it stand again for some seconds. Work sent there would be cut
// off. An entry that rose again waits until it has outlived a late heartbeat.
func TestRemovedServersWaitWhenTheyRise(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a")})
	v.Remove(at(1), "a")
	require.False(t, v.Usable(at(1), "a"))
	v.Put(at(2), entry("a"))
	require.False(t, v.Usable(at(3), "a"))
	require.True(t, v.Usable(at(6.1), "a"), "a server that was cut off and lives gets work again")
}

// The store is away, and the controller's process is started anew in that time. At
// the store's return it lists the few servers whose entries stand again, and tells
// a VM that these are all. That VM knew the others and must not take them for
// gone: they rise again within two seconds, and one that rose gets no work for
// four more.
func TestListOfAControllerThatStartedInAnOutage(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b"), entry("c")})
	v.Away()
	v.Adopt(at(10), backs.Word{States: []backs.State{{Entry: entry("a")}}, Full: true})
	require.Len(t, v.Serving(at(10), "s"), 3)
	v.Adopt(at(11), backs.Word{States: []backs.State{{Entry: entry("b")}}, Full: false})
	require.Len(t, v.Serving(at(11.9), "s"), 3)
	require.Len(t, v.Serving(at(12.1), "s"), 2, "what is missing then is gone")
	v.Adopt(at(20), backs.Word{States: []backs.State{{Entry: entry("a")}}, Full: true})
	require.Len(t, v.Serving(at(20), "s"), 1, "without an outage the list holds at once")
}

// The store is away for longer than an entry lasts; at its return the list is
// empty for a moment. If the servers were dropped at once, every request would
// be refused. They are kept for two seconds; what is missing then is gone.
func TestLapsedEntriesAreHeld(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	v.Away()
	v.Current(at(10))
	v.Replace(at(10), nil)
	require.Len(t, v.Serving(at(10.1), "s"), 2)
	v.Put(at(11), entry("a"))
	require.Len(t, v.Serving(at(11.9), "s"), 2)
	require.Len(t, v.Serving(at(12.1), "s"), 1)
	require.True(t, v.Usable(at(12.1), "a"))
	require.False(t, v.Usable(at(12.1), "b"))
}

// Requests reach a server that has left, and the log must tell why: whether its entry was
// taken for one that may come back, and until when.
func TestMissingServersAreNoted(t *testing.T) {
	var noted []backs.Missing
	v := backs.View{Noted: func(m backs.Missing) { noted = append(noted, m) }}
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	v.Remove(at(1), "a")
	require.Equal(t, []backs.Missing{{ID: "a"}}, noted)
	v.Away()
	v.Current(at(10))
	v.Replace(at(10), nil)
	v.Replace(at(11), nil)
	require.Equal(t, []backs.Missing{{ID: "a"}, {ID: "b", Kept: true}}, noted)
	require.Empty(t, v.All(at(12.1)))
	require.Equal(t, []backs.Missing{{ID: "a"}, {ID: "b", Kept: true}, {ID: "b"}}, noted)
}

// A VM loses the store again right after it came back; a server that left was used for two
// seconds from each return.
func TestServerThatLeftIsUsedLongerByEachLossOfContact(t *testing.T) {
	var v backs.View
	v.Replace(at(0), []backs.Entry{entry("a"), entry("b")})
	v.Away()
	v.Current(at(10))
	v.Remove(at(10.5), "a")
	v.Away()
	v.Current(at(11.9))
	require.True(t, v.Usable(at(11.9), "a"))
	require.False(t, v.Usable(at(12.1), "a"))
}

// A draining server whose entry lapses with the store away must not be held: it
// was leaving.
func TestDrainingEntriesAreNotHeld(t *testing.T) {
	var v backs.View
	e := entry("a")
	e.Draining = true
	v.Replace(at(0), []backs.Entry{e})
	v.Away()
	v.Current(at(5))
	v.Replace(at(5), nil)
	require.Empty(t, v.All(at(5)))
}

func TestHoldTakesOnlyNewerObservations(t *testing.T) {
	var v backs.View
	v.Put(at(5), entry("a"))
	v.Hold(at(4), "a", []backs.Held{{Model: "old"}})
	require.False(t, v.All(at(5))[0].Holds("old", ""))
	v.Hold(at(6), "a", []backs.Held{{Model: "m", Adapters: []string{"a1"}}})
	got := v.All(at(6))[0]
	require.True(t, got.Holds("m", "a1"))
	require.False(t, got.Holds("m", "a2"))
}

func TestChangedIsClosedByAChange(t *testing.T) {
	var v backs.View
	changed := v.Changed()
	select {
	case <-changed:
		require.Fail(t, "nothing has changed")
	default:
	}
	v.Put(at(0), entry("a"))
	<-changed
}

// The controller orders a model to be dropped, and tells the VMs. The server lists it until
// the last run has ended, and writes its entry anew for another reason meanwhile. Requests
// sent there for the model are refused.
func TestAnEntryDoesNotBringBackAModelThatIsDropped(t *testing.T) {
	listed := entry("a")
	listed.Models = []backs.Held{{Model: "m1", Version: 1}, {Model: "m2", Version: 1}}
	var v backs.View
	v.Replace(at(0), []backs.Entry{listed})
	told := []backs.Held{{Model: "m2", Adapters: []string{"a1"}}}
	v.Hold(at(1), "a", told)
	v.Put(at(1.5), listed)
	holds := func(now float64, model, adapter string) bool { return v.Serving(at(now), "s")[0].Holds(model, adapter) }
	require.False(t, holds(1.5, "m1", ""))
	require.True(t, holds(1.5, "m2", "a1"))

	v.Hold(at(3), "a", told)
	_, revision := v.Since(at(3), 0)
	v.Hold(at(3.1), "a", told)
	states, _ := v.Since(at(3.1), revision)
	require.Empty(t, states, "the same word is not told again")
	v.Put(at(5), listed)
	require.False(t, holds(5, "m1", ""), "it outweighs the entry all the while")
	v.Put(at(8), listed)
	require.True(t, holds(8, "m1", ""), "without a controller the entry counts")
}
