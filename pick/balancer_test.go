package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func servers(n int) []backs.Entry {
	var list []backs.Entry
	for i := range n {
		list = append(list, backs.Entry{ID: fmt.Sprintf("s%d", i), Domain: "d", Slots: 64})
	}
	return list
}

func draftRequest(subject string, id int) pick.Work {
	return pick.Work{
		Model: "m", PromptTokens: 9190, MaxOutputTokens: 52, Objective: 600 * time.Millisecond,
		PromptParts: []pick.PromptPart{{ID: "style", Tokens: 2520}, {ID: subject, Tokens: 3780}, {ID: fmt.Sprint(id), Tokens: 2890}},
	}
}

const kvTokens = 269_258

// Load pattern: drafts of forty subjects at a steady rate. The prefill of the shared part
// of a draft takes 200 ms. If drafts went to any server, each server would prefill each
// subject; instead the servers together should prefill a subject little more than once.
func TestPrefixPartitioning(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	list := servers(6)
	rng := rand.New(rand.NewPCG(1, 1))
	prefilled := 0
	for i := range 400 {
		now := at(float64(i) * 0.1)
		w := draftRequest(fmt.Sprintf("subject-%d", rng.IntN(40)), i)
		c, ok := balancer.Choose(now, list, w, kvTokens, nil)
		require.True(t, ok)
		attempt := balancer.Begin(now, c, w, kvTokens)
		prefilled += c.UncachedTokens
		attempt.FirstEvent(now.Add(c.PrefillTime))
		attempt.End(now.Add(c.PrefillTime), pick.Succeeded)
	}
	uncached := 400 * 9190
	require.Less(t, prefilled, uncached/2)
}

// Load pattern: a burst for one subject, whose server has a queue of prompts. The prefill
// of the shared part on another server takes less time than the queue.
func TestPrefixBurstOverflow(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	list := servers(4)
	used := map[string]int{}
	for i := range 24 {
		w := draftRequest("one", i)
		c, ok := balancer.Choose(at(0), list, w, kvTokens, nil)
		require.True(t, ok)
		balancer.Begin(at(0), c, w, kvTokens)
		used[c.Server.ID]++
	}
	require.Len(t, used, 4)
	for id, n := range used {
		require.LessOrEqual(t, n, 12, id)
	}
}

// A server passes health checks and fails its requests. After a few failures nearly all
// requests go to other servers; after its recovery it gets some again.
func TestGreyFailureAvoidanceAndRetry(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	list := servers(3)
	w := pick.Work{Objective: 100 * time.Millisecond}
	failed := 0
	for i := range 200 {
		now := at(float64(i) * 0.02)
		c, _ := balancer.Choose(now, list, w, 0, nil)
		attempt := balancer.Begin(now, c, w, 0)
		result := pick.Succeeded
		if c.Server.ID == "s0" {
			result = pick.Failed
			failed++
		}
		attempt.End(now.Add(15*time.Millisecond), result)
	}
	require.Less(t, failed, 10)
	later := at(120)
	served := map[string]bool{}
	for range 3 {
		c, _ := balancer.Choose(later, list, w, 0, nil)
		served[c.Server.ID] = true
		balancer.Begin(later, c, w, 0)
	}
	require.True(t, served["s0"])
}

// A failure domain is unreachable: after the first connections fail, its other servers are
// not tried one after the other.
func TestUnreachableDomainAvoidance(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	list := servers(2)
	far := []backs.Entry{{ID: "f0", Domain: "far", Slots: 64}, {ID: "f1", Domain: "far", Slots: 64}}
	for range 4 {
		balancer.ConnectFailed(at(0), far[0])
	}
	require.True(t, balancer.DomainUnreachable(at(0), "far"))
	c, ok := balancer.Choose(at(0), append([]backs.Entry{far[1]}, list...), pick.Work{}, 0, nil)
	require.True(t, ok)
	require.Equal(t, "d", c.Server.Domain)
	require.False(t, balancer.DomainUnreachable(at(60), "far"))
}

// A server whose KV cache is nearly full would preempt running streams.
func TestFullKVCacheAvoidance(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	list := servers(2)
	balancer.SetRemoteLoads(at(0), map[string]pick.Load{"s0": {Running: 1, KVTokens: 240_000}, "s1": {Running: 30, KVTokens: 100_000}})
	c, ok := balancer.Choose(at(0), list, draftRequest("x", 1), kvTokens, nil)
	require.True(t, ok)
	require.Equal(t, "s1", c.Server.ID)
}

func TestTriedServersExcluded(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	_, ok := balancer.Choose(at(0), servers(1), pick.Work{}, 0, []string{"s0"})
	require.False(t, ok)
}

// The prefill rate is measured on responses of idle servers, so that a model that is ten
// times as fast as its size suggests is not avoided.
func TestPrefillRateLearning(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	list := servers(1)
	w := pick.Work{Model: "fast", RelativeModelSize: 1, PromptTokens: 3200, PromptParts: []pick.PromptPart{{ID: "p", Tokens: 3200}}}
	first, _ := balancer.Choose(at(0), list, w, kvTokens, nil)
	for i := range 60 {
		w.PromptParts = []pick.PromptPart{{ID: fmt.Sprint(i), Tokens: 3200}}
		now := at(float64(i))
		c, _ := balancer.Choose(now, list, w, kvTokens, nil)
		attempt := balancer.Begin(now, c, w, kvTokens)
		attempt.FirstEvent(now.Add(10 * time.Millisecond))
		attempt.End(now.Add(20*time.Millisecond), pick.Succeeded)
	}
	w.PromptParts = []pick.PromptPart{{ID: "new", Tokens: 3200}}
	last, _ := balancer.Choose(at(100), list, w, kvTokens, nil)
	require.Greater(t, first.PredictedTime, 80*time.Millisecond)
	require.Less(t, last.PredictedTime, 15*time.Millisecond)
}

func TestSubtractLoadsClampsAtZero(t *testing.T) {
	rest := pick.SubtractLoads(map[string]pick.Load{"a": {Running: 1}}, map[string]pick.Load{"a": {Running: 3}, "b": {Running: 1}})
	require.Equal(t, map[string]pick.Load{"a": {}}, rest)
}

func TestLocalLoadsAdapters(t *testing.T) {
	balancer := &pick.Balancer{}
	w := pick.Work{Model: "m", Adapter: "a1"}
	c, _ := balancer.Choose(at(0), servers(1), w, kvTokens, nil)
	attempt := balancer.Begin(at(0), c, w, kvTokens)
	require.Equal(t, []string{"m/a1"}, balancer.LocalLoads()["s0"].Adapters)
	attempt.End(at(1), pick.Succeeded)
	require.Empty(t, balancer.LocalLoads())
}

// Load pattern: eighty VMs send drafts for one model with six replicas and receive load
// reports of each other every 300 ms. One replica is new and has no queue. If each VM
// chose the shortest reported queue, all would choose the new replica until the next
// report, and its queue would become the longest. Its share must match the difference
// between the queues, and the subjects must stay partitioned among the replicas.
func TestStaleLoadsWithoutThunderingHerd(t *testing.T) {
	list := servers(6)
	reported := map[string]pick.Load{}
	for _, e := range list[1:] {
		reported[e.ID] = pick.Load{Running: 8, PrefillTime: 300 * time.Millisecond}
	}
	sent := map[string]time.Duration{}
	serversBySubject := map[string]map[string]bool{}
	rng := rand.New(rand.NewPCG(1, 1))
	for vm := range 80 {
		balancer := &pick.Balancer{Domain: "d", Seed: uint64(vm)}
		balancer.SetRemoteLoads(at(0), reported)
		w := draftRequest(fmt.Sprintf("subject-%d", rng.IntN(40)), vm)
		c, ok := balancer.Choose(at(0.1), list, w, kvTokens, nil)
		require.True(t, ok)
		sent[c.Server.ID] += c.PrefillTime
		subject := w.PromptParts[1].ID
		if serversBySubject[subject] == nil {
			serversBySubject[subject] = map[string]bool{}
		}
		serversBySubject[subject][c.Server.ID] = true
	}
	total := time.Duration(0)
	for _, prefill := range sent {
		total += prefill
	}
	for _, e := range list[1:] {
		require.NotZero(t, sent[e.ID], e.ID)
		require.Greater(t, sent["s0"], sent[e.ID], "the new replica gets the largest share")
	}
	require.Less(t, sent["s0"], total/2, "but less than half")
	for subject, at := range serversBySubject {
		require.Len(t, at, 1, subject)
	}
}

// Load pattern: short prompts whose shared part is too short for prefix routing. Each VM
// distributes them randomly, in inverse relation to the queues, and different VMs choose
// differently.
func TestShortPromptsDistributedRandomly(t *testing.T) {
	used := map[string]int{}
	for vm := range 300 {
		balancer := &pick.Balancer{Domain: "d", Seed: uint64(vm)}
		balancer.SetRemoteLoads(at(0), map[string]pick.Load{"s0": {PrefillTime: 150 * time.Millisecond}, "s1": {PrefillTime: time.Minute}})
		w := pick.Work{Model: "m", PromptTokens: 826, PromptParts: []pick.PromptPart{{ID: "style", Tokens: 198}, {ID: "own", Tokens: 628}}}
		c, ok := balancer.Choose(at(0), servers(4), w, kvTokens, nil)
		require.True(t, ok)
		used[c.Server.ID]++
	}
	require.Zero(t, used["s1"])
	require.Greater(t, used["s0"], 10)
	require.Less(t, used["s0"], used["s2"])
	require.Less(t, used["s0"], used["s3"])
}

// The servers have processed part of the reported load of other VMs since the report.
// Without that correction, a server is avoided until the next report.
func TestReportedQueuesDrain(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	balancer.SetRemoteLoads(at(0), map[string]pick.Load{"s0": {Running: 1, PrefillTime: time.Second}})
	w := draftRequest("x", 1)
	c, _ := balancer.Choose(at(0), servers(1), w, kvTokens, nil)
	later, _ := balancer.Choose(at(0.8), servers(1), w, kvTokens, nil)
	require.Equal(t, 800*time.Millisecond, c.PredictedTime-later.PredictedTime)
}

// Requests with a shared prefix go to the same server from all VMs, whatever connections a
// VM has open; otherwise several servers prefill the prefix.
func TestPrefixRoutingIgnoresConnections(t *testing.T) {
	balancerWithConn := func(id string) *pick.Balancer {
		return &pick.Balancer{Domain: "d", HasIdleConn: func(server string) bool { return server == id }}
	}
	for i := range 50 {
		w := draftRequest(fmt.Sprint("subject", i), i)
		one, _ := balancerWithConn("s1").Choose(at(0), servers(4), w, kvTokens, nil)
		other, _ := balancerWithConn("s2").Choose(at(0), servers(4), w, kvTokens, nil)
		require.Equal(t, one.Server.ID, other.Server.ID)
	}
}

// Load pattern: prompts are short and responses long. Two servers with a replica of a model have
// twelve slots each, and one of them runs requests for another model in all of its slots.
// By pending prefill the two are equal, so half of the requests wait for a slot, or
// preempt others, while the slots of the other server are free.
func TestOccupiedSlotsPenalized(t *testing.T) {
	list := servers(2)
	for i := range list {
		list[i].Slots = 12
	}
	balancer := &pick.Balancer{Domain: "d"}
	balancer.SetRemoteLoads(at(0), map[string]pick.Load{"s0": {Running: 12}, "s1": {Running: 2}})
	sent := map[string]int{}
	for range 200 {
		c, ok := balancer.Choose(at(0.1), list, pick.Work{Model: "m", PromptTokens: 300, MaxOutputTokens: 300, Slots: 12}, kvTokens, nil)
		require.True(t, ok)
		sent[c.Server.ID]++
	}
	require.Zero(t, sent["s0"])
}

// A server with twice the slots has half the load with the same number of requests.
func TestLoadRelativeToSlotCount(t *testing.T) {
	list := servers(2)
	list[0].Slots, list[1].Slots = 12, 24
	balancer := &pick.Balancer{Domain: "d"}
	balancer.SetRemoteLoads(at(0), map[string]pick.Load{"s0": {Running: 6}, "s1": {Running: 6}})
	sent := map[string]int{}
	for range 400 {
		c, ok := balancer.Choose(at(0.1), list, pick.Work{Model: "m", PromptTokens: 300, MaxOutputTokens: 300, Slots: 12}, kvTokens, nil)
		require.True(t, ok)
		sent[c.Server.ID]++
	}
	require.Greater(t, sent["s1"], 2*sent["s0"])
	require.NotZero(t, sent["s0"])
}

// Among forty servers, two in each of both other domains have crashed, and connections to
// them fail one after the other. The VM considered itself isolated and refused requests
// whose models were being loaded on other servers, although other servers of those domains
// still responded. It is isolated only if those domains have not responded for half a second.
func TestCrashesNotTakenForIsolation(t *testing.T) {
	balancer := &pick.Balancer{Domain: "d"}
	servers := []backs.Entry{{ID: "a", Domain: "near"}, {ID: "b", Domain: "far"}}
	for _, e := range servers {
		balancer.ConnectFailed(at(0), e)
		balancer.ConnectSucceeded(at(0.1), e)
		for range 4 {
			balancer.ConnectFailed(at(0.2), e)
		}
	}
	require.False(t, balancer.Isolated(at(0.3), servers))
	require.True(t, balancer.Isolated(at(0.7), servers))
	balancer.ConnectSucceeded(at(0.8), servers[0])
	require.False(t, balancer.Isolated(at(2), servers))
}

// First the servers of one domain are unreachable, then those of all other domains. Only
// then is this VM the isolated one.
func TestIsolated(t *testing.T) {
	own, near, far := backs.Entry{ID: "a", Domain: "d"}, backs.Entry{ID: "b", Domain: "near"}, backs.Entry{ID: "c", Domain: "far"}
	tests := map[string]struct {
		unreached, servers []backs.Entry
		want               bool
	}{
		"all domains reachable":         {nil, []backs.Entry{own, near, far}, false},
		"one domain unreachable":        {[]backs.Entry{far}, []backs.Entry{own, near, far}, false},
		"all other domains unreachable": {[]backs.Entry{near, far}, []backs.Entry{own, near, far}, true},
		"all domains unreachable":       {[]backs.Entry{own, near, far}, []backs.Entry{own, near, far}, true},
		"no other domain":               {[]backs.Entry{own}, []backs.Entry{own}, false},
		"no servers":                    {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			balancer := &pick.Balancer{Domain: "d"}
			for _, e := range tc.unreached {
				for range 2 {
					balancer.ConnectFailed(at(0), e)
				}
			}
			require.Equal(t, tc.want, balancer.Isolated(at(0), tc.servers))
		})
	}
}
