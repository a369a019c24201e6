package paths

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// fleet returns nine servers of three services and three failure domains.
func fleet() []backs.Entry {
	var all []backs.Entry
	for i := range 9 {
		all = append(all, backs.Entry{ID: fmt.Sprintf("s%d", i), Service: fmt.Sprintf("service-%d", i/3), Domain: fmt.Sprintf("domain-%d", i%3)})
	}
	return all
}

// vm drives a Tracker as a VM does: each suspicion is probed at once.
type vm struct {
	*Tracker
	suspicions, probes int
	changes            []bool
	ended              []string
}

func newVM() *vm {
	v := &vm{Tracker: &Tracker{}}
	v.OnChange = func(lost bool) { v.changes = append(v.changes, lost) }
	v.OnProcessEnded = func(_ time.Time, server string) { v.ended = append(v.ended, server) }
	v.OnSuspicion = func() { v.suspicions++ }
	return v
}

// probe makes the probes that are due once, and reports whether there were any.
func (v *vm) probe(now time.Time, reached func(server string) bool) bool {
	due := v.Probes(fleet())
	for _, e := range due {
		v.probes++
		v.connect(now, e.ID, reached)
	}
	return len(due) > 0
}

func (v *vm) connect(now time.Time, server string, reached func(server string) bool) {
	if reached(server) {
		v.ConnectionWorked(now)
		return
	}
	v.ConnectionFailed(now, server, true)
}

func nothing(string) bool    { return false }
func everything(string) bool { return true }

// A VM loses its path to all servers. Its first failed connection must be enough to find that out, at the
// cost of four probes, and the path must count as back with the first probe that works.
func TestLostPathFoundAndBack(t *testing.T) {
	v := newVM()
	v.ConnectionWorked(at(0))
	v.ConnectionFailed(at(5), "s0", false)
	require.False(t, v.Lost())
	require.True(t, v.probe(at(5.2), nothing))
	require.False(t, v.Lost())
	require.True(t, v.probe(at(5.4), nothing))
	require.True(t, v.Lost())
	require.Equal(t, 4, v.probes)
	seen := make(map[string]bool)
	for i := range 9 {
		due := v.Probes(fleet())
		require.Len(t, due, 1)
		seen[due[0].ID] = true
		v.ConnectionFailed(at(6+float64(i)), due[0].ID, false)
	}
	require.Len(t, seen, 9, "each server is probed in turn")
	require.True(t, v.probe(at(16), everything))
	require.False(t, v.Lost())
	require.False(t, v.probe(at(16.1), everything), "no probe without a suspicion")
	require.Equal(t, []bool{true, false}, v.changes)
	require.Equal(t, 1, v.suspicions)
	require.Empty(t, v.ended, "a refusal by a lost path says nothing about the server")
}

// Connections that were begun during a cut fail right after it. Guards against a path that counts as lost
// again at its end.
func TestLateFailuresAfterCut(t *testing.T) {
	v := newVM()
	for _, e := range fleet()[:lostServers] {
		v.ConnectionFailed(at(0), e.ID, false)
	}
	require.True(t, v.Lost())
	v.ConnectionWorked(at(5))
	for _, e := range fleet() {
		v.ConnectionFailed(at(5.2), e.ID, false)
	}
	require.False(t, v.Lost())
}

// A VM that has just opened a connection loses its path, and connections are refused. Guards against taking its
// servers for crashed, which blocks the requests that it had sent to them.
func TestRefusalsRightAfterConnection(t *testing.T) {
	v := newVM()
	v.ConnectionWorked(at(5))
	for i, e := range fleet()[:3] {
		v.ConnectionFailed(at(5.01+float64(i)/100), e.ID, true)
	}
	for i := range 4 {
		v.probe(at(5.05+float64(i)/100), nothing)
	}
	require.True(t, v.Lost())
	v.Heard(at(6))
	v.ConnectionWorked(at(15))
	require.Empty(t, v.ended)
}

// A server crashes beside others that work. Guards against a crash that counts late or never, so that the next
// servers get the request that caused it.
func TestCrashBesideWorkingServersCounts(t *testing.T) {
	tests := map[string]struct {
		// crashedBefore is set if another server crashed a moment before, which was probed.
		crashedBefore bool
		confirm       func(v *vm)
	}{
		"new connection works":              {false, func(v *vm) { v.ConnectionWorked(at(5.4)) }},
		"probe":                             {false, func(v *vm) { v.probe(at(5.4), everything) }},
		"second crash, other server sends":  {true, func(v *vm) { v.Heard(at(5.4)) }},
		"second crash, its request waits":   {true, func(v *vm) { v.Silent(at(6.2), at(5.8)); v.probe(at(6.3), everything) }},
		"second crash, third one is probed": {true, func(v *vm) { v.ConnectionFailed(at(6.5), "s1", true); v.probe(at(6.6), everything) }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := newVM()
			v.ConnectionWorked(at(5))
			if tc.crashedBefore {
				v.ConnectionFailed(at(5.1), "s8", true)
				v.probe(at(5.11), everything)
				v.probe(at(5.12), everything)
				require.Equal(t, []string{"s8"}, v.ended)
			}
			v.ConnectionFailed(at(5.2), "s0", true)
			require.NotContains(t, v.ended, "s0", "nothing tells the crash from a lost path yet")
			tc.confirm(v)
			require.Contains(t, v.ended, "s0")
			require.LessOrEqual(t, v.suspicions, 2)
		})
	}
}

// All servers of one service, or of one failure domain, crash at the same moment. Guards against taking that
// for a lost path of the VM, which would send its requests through others in vain.
func TestCrashedGroupIsNoLostPath(t *testing.T) {
	tests := map[string]func(e backs.Entry) bool{
		"service": func(e backs.Entry) bool { return e.Service == "service-1" },
		"domain":  func(e backs.Entry) bool { return e.Domain == "domain-1" },
	}
	for name, crashed := range tests {
		t.Run(name, func(t *testing.T) {
			v := newVM()
			down := make(map[string]bool)
			for _, e := range fleet() {
				down[e.ID] = crashed(e)
			}
			reached := func(server string) bool { return !down[server] }
			for i := range 30 {
				now := at(5 + 0.2*float64(i))
				for server, isDown := range down {
					if isDown {
						v.connect(now, server, reached)
						break
					}
				}
				v.probe(now, reached)
				require.False(t, v.Lost())
			}
			require.LessOrEqual(t, v.probes, 2*7, "a suspicion a second, two probes each")
			require.NotEmpty(t, v.ended)
		})
	}
}

// Connections go silent while requests wait. Guards against a lost path that is noticed only when the kernel
// gives the connections up, and against probes for every slow response.
func TestSilenceIsProbed(t *testing.T) {
	v := newVM()
	v.ConnectionWorked(at(0))
	v.Silent(at(2), at(1.5))
	require.Zero(t, v.suspicions, "the request has waited for half a second")
	v.Heard(at(2))
	v.Silent(at(2.5), at(0.5))
	require.Zero(t, v.suspicions, "another server has just responded")
	v.Silent(at(3), at(0.5))
	v.Silent(at(3.1), at(0.5))
	require.Equal(t, 1, v.suspicions)
	require.True(t, v.probe(at(3.2), everything))
	require.False(t, v.probe(at(3.3), everything))
	v.Silent(at(4.2), at(3))
	for i := range 3 {
		require.False(t, v.Lost())
		require.True(t, v.probe(at(4.3+float64(i)/4), nothing))
	}
	require.True(t, v.Lost())
}

// Four in ten servers of all services and domains are down for a while. Guards against a VM that often takes that
// for a lost path of its own.
func TestManyCrashedServersAreNoLostPath(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	lost := 0
	const suspicions = 2000
	for range suspicions {
		v := newVM()
		down := make(map[string]bool)
		for _, e := range fleet() {
			down[e.ID] = rng.Float64() < 0.4
		}
		reached := func(server string) bool { return !down[server] }
		down["s0"] = true
		v.connect(at(5), "s0", reached)
		for i := range 4 {
			v.probe(at(5+float64(i)/4), reached)
		}
		if v.Lost() {
			lost++
		}
	}
	require.Less(t, lost, suspicions/25)
}

// Guards against a suspicion that never ends in a deployment with fewer servers than are probed.
func TestSuspicionOfFewServers(t *testing.T) {
	v := newVM()
	v.ConnectionFailed(at(0), "s0", false)
	require.Empty(t, v.Probes(fleet()[:1]))
	require.False(t, v.Lost())
	two := fleet()[:2]
	v.ConnectionFailed(at(3), "s0", false)
	require.Equal(t, 2, v.suspicions)
	for _, e := range v.Probes(two) {
		v.ConnectionFailed(at(3.2), e.ID, false)
	}
	require.Len(t, v.Probes(two), 1)
	require.True(t, v.Lost())
}
