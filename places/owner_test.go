package places

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// oneServer is a server of two slots and 50 ms a request.
var oneServer = []Server{{ID: "a", Slots: 2, ProcessingTime: 50 * time.Millisecond}}

// request returns a request with an objective of 200 ms, of which some is left.
func request(key uint64, priority int, remaining time.Duration) Request {
	return Request{Key: key, Priority: priority, Objective: 200 * time.Millisecond, Remaining: remaining}
}

// fill grants places until a request has to wait or is refused, and returns them.
func fill(t *testing.T, o *Owner) (granted []int) {
	t.Helper()
	for key := uint64(1000); ; key++ {
		a := o.Ask(epoch, "s", oneServer, request(key, 9, 200*time.Millisecond))
		if a.Place == 0 {
			require.Less(t, len(granted), 8, "no more than are served within the objective")
			return granted
		}
		granted = append(granted, a.Place)
	}
}

// Guards against a place that goes to a request of lower priority, or to one with more time left, while another waits.
func TestOrderOfWaitingRequests(t *testing.T) {
	for name, tc := range map[string]struct{ first, second Request }{
		"priority":       {request(1, 0, 190*time.Millisecond), request(2, 1, 180*time.Millisecond)},
		"remaining time": {request(1, 1, 180*time.Millisecond), request(2, 1, 190*time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			var o Owner
			granted := fill(t, &o)
			require.Positive(t, o.Ask(epoch, "s", oneServer, tc.second).Wait)
			require.Positive(t, o.Ask(epoch, "s", oneServer, tc.first).Wait)
			o.End(epoch, []End{{Place: granted[0], Took: 50 * time.Millisecond}})
			require.Zero(t, o.Ask(epoch, "s", oneServer, tc.second).Place, "the place is kept for the other request")
			require.NotZero(t, o.Ask(epoch, "s", oneServer, tc.first).Place)
		})
	}
}

// Guards against a place that is kept for a request whose VM has ended.
func TestWaitingRequestWithoutVM(t *testing.T) {
	var o Owner
	granted := fill(t, &o)
	wait := o.Ask(epoch, "s", oneServer, request(1, 0, 190*time.Millisecond)).Wait
	o.End(epoch, []End{{Place: granted[0], Took: 50 * time.Millisecond}})
	later := epoch.Add(wait + waiterGrace)
	require.NotZero(t, o.Ask(later, "s", oneServer, request(2, 1, 190*time.Millisecond)).Place)
}

// Guards against requests that wait although they can not be served in time, and against refusals without a return time.
func TestRefusedAtOnce(t *testing.T) {
	var o Owner
	fill(t, &o)
	a := o.Ask(epoch, "s", oneServer, request(1, 0, 100*time.Millisecond))
	require.True(t, a.Refused)
	require.Positive(t, a.Wait)
}

// Guards against places that stay at servers that are gone, and against those of another owner that free places of this one.
func TestPlacesFollowServers(t *testing.T) {
	o, other := Owner{}, Owner{Seed: 1 << 20}
	granted := fill(t, &o)
	other.End(epoch, []End{{Place: granted[0]}})
	o.End(epoch, []End{{Place: other.Ask(epoch, "s", oneServer, request(1, 0, time.Second)).Place}})
	require.Zero(t, o.Ask(epoch, "s", oneServer, request(2, 9, 200*time.Millisecond)).Place)
	replaced := []Server{{ID: "b", Slots: 2}}
	a := o.Ask(epoch.Add(time.Second), "s", replaced, request(3, 0, 200*time.Millisecond))
	require.Equal(t, "b", a.Server)
	require.False(t, o.Open(granted[0]))
	require.Zero(t, o.Ask(epoch, "s", nil, request(4, 0, 200*time.Millisecond)), "without servers the VM decides")
}

// Guards against an objective that no server meets, so that all requests are refused and no measurement shows that it is met again.
func TestObjectiveThatNoServerMeets(t *testing.T) {
	var o Owner
	slow := []Server{{ID: "a", Slots: 2, ProcessingTime: time.Second}}
	require.NotZero(t, o.Ask(epoch, "s", slow, request(1, 0, 200*time.Millisecond)).Place)
}

// Guards against a server that ends its places without responses and so gets all requests.
func TestFailingServer(t *testing.T) {
	var o Owner
	two := []Server{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}}
	toA := 0
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		a := o.Ask(now, "s", two, request(uint64(i+1), 0, 200*time.Millisecond))
		end := End{Place: a.Place, Took: 10 * time.Millisecond}
		if a.Server == "a" {
			toA++
			end.Took = 0
		}
		o.End(now, []End{end})
	}
	require.LessOrEqual(t, toA, maxFailures+4)
}

// Guards against a request that is refused, or keeps places from others, because the free places are at a server that its VM can not use.
func TestFreePlacesAtAvoidedServer(t *testing.T) {
	var o Owner
	fill(t, &o)
	two := append([]Server{{ID: "b", Slots: 2, ProcessingTime: 50 * time.Millisecond}}, oneServer...)
	r := request(1, 0, 200*time.Millisecond)
	r.Avoid = []string{"b"}
	a := o.Ask(epoch, "s", two, r)
	require.Zero(t, a.Place)
	require.False(t, a.Refused)
	require.Positive(t, a.Wait)
	for key := range uint64(4) {
		require.Equal(t, "b", o.Ask(epoch, "s", two, request(2+key, 9, 200*time.Millisecond)).Server)
	}
}

// Guards against a server that gets one request at a time because VMs returned places that they did not use.
func TestUnusedPlacesAreNoFailures(t *testing.T) {
	var o Owner
	now := time.Unix(1000, 0)
	servers := []Server{{ID: "a", Slots: 6, ProcessingTime: 60 * time.Millisecond}}
	ask := func(key uint64) Answer {
		return o.Ask(now, "s", servers, Request{Key: key, Objective: 300 * time.Millisecond, Remaining: 300 * time.Millisecond})
	}
	for i := range uint64(2 * maxFailures) {
		o.End(now, []End{{Place: ask(i + 1).Place, Took: Unused}})
	}
	require.NotZero(t, ask(100).Place)
	require.NotZero(t, ask(101).Place)
}
