package steer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

func engine(memory float64, models ...string) *routes.Engine {
	e := &routes.Engine{WeightMemoryMB: memory, Models: make(map[string]routes.Model)}
	for _, m := range models {
		e.Models[m] = routes.Model{Name: m, SizeMB: 10, LoadTime: time.Second}
	}
	return e
}

func planner(now time.Time, e *routes.Engine, work map[string]float64, servers ...*steer.Server) *steer.Planner {
	return &steer.Planner{
		Engine: e, Servers: servers, Now: now,
		Work:           func(m string) float64 { return work[m] },
		StartStoreLoad: func() *steer.LoadStart { return &steer.LoadStart{} },
	}
}

func steps(p *steer.Planner) []string {
	var list []string
	for _, s := range p.Steps() {
		verb := "load"
		if s.Unload {
			verb = "unload"
		}
		list = append(list, fmt.Sprintf("%s %s at %s", verb, s.Model.Name, s.Server.Entry().ID))
	}
	return list
}

func TestPlan(t *testing.T) {
	tests := map[string]struct {
		memory  float64
		work    map[string]float64
		servers []*steer.Server
		want    []string
	}{
		"balanced": {20, nil, []*steer.Server{reportedServer(at(0), "a", 0, "m1", "m2")}, nil},
		"missing model loads into free memory": {
			20, nil, []*steer.Server{reportedServer(at(0), "a", 0, "m1")}, []string{"load m2 at a"},
		},
		"missing model replaces a spare replica": {
			10, nil, []*steer.Server{reportedServer(at(0), "a", 0, "m1"), reportedServer(at(0), "b", 0, "m1")}, []string{"unload m1 at a"},
		},
		"last replica stays if it is not known to be idle": {
			10, map[string]float64{"m2": 100}, []*steer.Server{reportedServer(at(0), "a", 0, "m1")}, nil,
		},
		"demand adds a replica": {
			20, map[string]float64{"m2": 100, "m1": 1},
			[]*steer.Server{reportedServer(at(0), "a", 0, "m1"), reportedServer(at(0), "b", 0, "m1", "m2")}, []string{"load m2 at a"},
		},
		"small difference": {
			10, map[string]float64{"m1": 50, "m2": 52},
			[]*steer.Server{
				reportedServer(at(0), "a", 0, "m1"), reportedServer(at(0), "b", 0, "m1"), reportedServer(at(0), "c", 0, "m2"),
			}, nil,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := planner(at(1), engine(tc.memory, "m1", "m2"), tc.work, tc.servers...)
			require.Equal(t, tc.want, steps(p))
		})
	}
}

// The replicas at a draining server end with it. If they counted, their models would be unavailable
// from its end until a new replica is loaded.
func TestDrainingServersReplicasDoNotCount(t *testing.T) {
	e := entry("a", "m1", "m2")
	e.Draining = true
	draining := steer.NewServer(at(0), e)
	p := planner(at(1), engine(20, "m1", "m2"), nil, draining, reportedServer(at(0), "b", 0, "m1"))
	require.Equal(t, []string{"load m2 at b"}, steps(p))
}

func TestReplicasAreSpreadOverFailureDomains(t *testing.T) {
	far := entry("z", "m1")
	far.Domain = "other"
	other := steer.NewServer(at(0), far)
	other.ApplyReport(at(0), at(0), steer.Report{Models: []backs.LoadedModel{{Model: "m1"}}})
	near := reportedServer(at(0), "b", 0, "m1")
	withM2 := reportedServer(at(0), "a", 0, "m2")
	p := planner(at(1), engine(20, "m1", "m2"), map[string]float64{"m2": 10}, withM2, near, other)
	require.Equal(t, []string{"load m2 at z", "load m2 at b"}, steps(p), "loads in the failure domain without a replica first")
}

// A crashed server restarts empty, with the weights of one model on its disk. Requests for that
// model, and for one with more demand that is on no disk, are late at the only other server. The
// controller ordered the second model from the weight store, and the server was idle for the six
// seconds of the load. It must first load the model on its disk, which takes one second, and the
// other one a second later.
func TestRestartedServerLoadsFromDiskFirst(t *testing.T) {
	e := engine(20, "kept", "hot")
	for name, m := range e.Models {
		m.LoadTime, m.DiskLoadTime = 6*time.Second, time.Second
		e.Models[name] = m
	}
	restarted := steer.NewServer(at(0), entry("a"))
	restarted.ApplyReport(at(0), at(0), steer.Report{OnDisk: []string{"kept"}})
	p := planner(at(1), e, map[string]float64{"kept": 0.8, "hot": 1}, restarted, reportedServer(at(0), "b", 0, "kept", "hot"))
	require.Equal(t, []string{"load kept at a"}, steps(p))
}

// Two further replicas of a busy model take seconds to load. Counting them, the planner replaced
// the loaded replicas by another model meanwhile, and requests for the busy model found no replica.
func TestLoadingReplicasDoNotReplaceLoadedOnes(t *testing.T) {
	e := engine(10, "busy", "other")
	loading := func(id string) *steer.Server {
		s := reportedServer(at(0), id, 0)
		s.ApplyResult(at(1), at(1), e, steer.Order{Model: "busy"}, steer.Accepted, 6*time.Second)
		return s
	}
	work := map[string]float64{"busy": 1.2, "other": 0.7}
	servers := []*steer.Server{reportedServer(at(0), "a", 0, "busy"), reportedServer(at(0), "b", 0, "busy"), reportedServer(at(0), "c", 0, "other")}
	require.Empty(t, steps(planner(at(1), e, work, servers...)), "no replica is replaced before the new ones load")
	servers = append(servers, loading("d"), loading("e"))
	require.Empty(t, steps(planner(at(1), e, work, servers...)))
}

// A replica in use was replaced by one with a slightly higher worth that was ready eight seconds
// later, when demand had mostly shifted to other models. A replica loaded from disk is ready in
// time.
func TestReplicaNotReplacedByLateOne(t *testing.T) {
	work := map[string]float64{"low": 0.5, "high": 0.95}
	servers := func() []*steer.Server {
		disk := steer.NewServer(at(0), entry("a", "low"))
		disk.ApplyReport(at(0), at(0), steer.Report{Models: []backs.LoadedModel{{Model: "low"}}, OnDisk: []string{"high"}})
		return []*steer.Server{disk, reportedServer(at(0), "b", 0, "low"), reportedServer(at(0), "c", 0, "high")}
	}
	for name, tc := range map[string]struct {
		load, disk time.Duration
		want       []string
	}{
		"soon": {30 * time.Second, time.Second, []string{"unload low at a"}},
		"late": {30 * time.Second, 30 * time.Second, nil},
	} {
		t.Run(name, func(t *testing.T) {
			e := engine(10, "low", "high")
			for n, m := range e.Models {
				m.LoadTime, m.DiskLoadTime = tc.load, tc.disk
				e.Models[n] = m
			}
			require.Equal(t, tc.want, steps(planner(at(1), e, work, servers()...)))
		})
	}
}

// Guards against a model whose only replica is at a contended server, and against loading models
// there.
func TestReplicaAtContendedServerDoesNotCount(t *testing.T) {
	servers := []*steer.Server{reportedServer(at(0), "a", 0, "m1"), reportedServer(at(0), "b", 0)}
	p := planner(at(0), engine(10, "m1"), nil, servers...)
	require.Empty(t, steps(p))
	p.Contended = func(server string) bool { return server == "a" }
	require.Equal(t, []string{"load m1 at b"}, steps(p))
	p.Contended = func(string) bool { return true }
	require.Empty(t, steps(p))
}

// There is memory for one model fewer than there are models, each with one replica. Requests for the
// model without a replica were refused all day after waiting for seconds, because no last replica was
// ever replaced, although nobody asked for the models that had one. The least recently requested of
// these must be replaced, and a last replica in use must stay: its requests would be refused instead.
func TestIdleLastReplicaYieldsToRequestedModel(t *testing.T) {
	second := time.Second
	for name, tc := range map[string]struct {
		// requested is how long ago each model was last requested; models that are not listed never were.
		requested map[string]time.Duration
		without   time.Duration
		want      []string
	}{
		"nobody asks for any":          {nil, time.Hour, nil},
		"nobody asks for it any more":  {map[string]time.Duration{"m3": 20 * second}, time.Hour, nil},
		"the others were never asked":  {map[string]time.Duration{"m3": 0}, time.Minute, []string{"unload m1 at a"}},
		"the least recently requested": {map[string]time.Duration{"m3": 0, "m1": 20 * second, "m2": 40 * second}, time.Minute, []string{"unload m2 at b"}},
		"one in use":                   {map[string]time.Duration{"m3": 0, "m1": second}, time.Minute, []string{"unload m2 at b"}},
		"all in use":                   {map[string]time.Duration{"m3": 0, "m1": second, "m2": second}, time.Minute, nil},
		"its server crashed just now":  {map[string]time.Duration{"m3": 0, "m1": 4 * second, "m2": 4 * second}, 0, nil},
		"its server stays away":        {map[string]time.Duration{"m3": 0, "m1": 8 * second, "m2": second}, 4 * second, []string{"unload m1 at a"}},
	} {
		t.Run(name, func(t *testing.T) {
			work := make(map[string]float64)
			for m, ago := range tc.requested {
				work[m] = 0.15 * math.Exp2(-ago.Seconds())
			}
			p := planner(at(60), engine(10, "m1", "m2", "m3"), work, reportedServer(at(0), "a", 0, "m1"), reportedServer(at(0), "b", 0, "m2"))
			p.SinceRequested = func(m string) (time.Duration, bool) { ago, ok := tc.requested[m]; return ago, ok }
			p.TimeWithoutReplica = func(m string) time.Duration {
				if m == "m3" {
					return tc.without
				}
				return 0
			}
			require.Equal(t, tc.want, steps(p))
		})
	}
}

// A model was loaded for requests that had waited for it, and is the least recently requested one when
// the next model is asked for. It must stay until its requests had time to arrive, or the two models
// replace each other and neither serves.
func TestFreshLastReplicaStays(t *testing.T) {
	fresh := reportedServer(at(59), "a", 0, "m1")
	p := planner(at(60), engine(10, "m1", "m2"), map[string]float64{"m2": 0.15}, fresh)
	p.SinceRequested = func(m string) (time.Duration, bool) { return map[string]time.Duration{"m1": 5 * time.Second}[m], true }
	p.TimeWithoutReplica = func(string) time.Duration { return time.Minute }
	require.Empty(t, steps(p))
	p.Now = at(70)
	require.Equal(t, []string{"unload m1 at a"}, steps(p))
}
