package dedup_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuscart/hibiscuscart/dedup"
	"github.com/hibiscuscart/hibiscuscart/naive"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// The same cases in every run.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_000_000, 0)

// objects is a store in memory for one shard.
type objects struct {
	version  int
	head     wire.ShardHead
	recent   []wire.Claim
	segments map[string][]wire.Claim
	names    int
}

func newObjects() *objects { return &objects{segments: make(map[string][]wire.Claim)} }

func (o *objects) name() string {
	o.names++
	return fmt.Sprint("seg-", o.names)
}

func (o *objects) load(now time.Time, s *dedup.Shard) []dedup.Reply {
	segments := make(map[string][]wire.Claim)
	for _, name := range s.Missing(o.head) {
		segments[name] = o.segments[name]
	}
	recent := append([]wire.Claim(nil), o.recent...)
	return s.Load(now, o.version, o.head, recent, segments)
}

// put is the conditional update of the head.
func (o *objects) put(b dedup.Batch) bool {
	if b.IfVersion != o.version {
		return false
	}
	o.version++
	o.head = wire.ShardHead{Segments: b.Segments}
	o.recent = append([]wire.Claim(nil), b.Recent...)
	return true
}

// tidy seals and merges segments as the runner does.
func (o *objects) tidy(now time.Time, s *dedup.Shard) {
	if seal, ok := s.BeginSeal(now, o.name); ok {
		o.segments[seal.Name] = seal.Claims
		s.Sealed(seal)
	}
	old := s.BeginMerge()
	if len(old) == 0 {
		return
	}
	var contents [][]wire.Claim
	for _, seg := range old {
		contents = append(contents, o.segments[seg.Name])
	}
	m := dedup.NewMerge(now, old, contents, o.name())
	o.segments[m.Name] = m.Claims
	s.Merged(m)
}

func request(key, grant int) dedup.Request {
	return dedup.Request{
		Key: dedup.Key{Profile: "p", Caller: "c", Key: fmt.Sprint(key)}, BodyHash: fmt.Sprint("body", key),
		Grant: fmt.Sprint("g", grant), Busy: 5 * time.Second, Retain: time.Minute,
	}
}

// TestShardAgainstNaive drives a shard, whose small head is sealed and merged
// all the time and which is read anew now and then, and a plain map with the
// same claims and ends: every verdict must agree.
func TestShardAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newObjects()
		s := &dedup.Shard{HeadClaims: 6}
		store.load(start, s)
		var plain naive.MemoryClaims
		now, grants := start, 0
		held := make(map[int]dedup.Request)
		write := func() []dedup.Reply {
			b := s.Next(now)
			require.True(t, store.put(b))
			replies := s.Committed(now, store.version)
			for _, name := range b.Drop {
				delete(store.segments, name)
			}
			store.tidy(now, s)
			return replies
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				grants++
				r := request(rapid.IntRange(0, 30).Draw(t, "key"), grants)
				if rapid.IntRange(0, 9).Draw(t, "other body") == 0 {
					r.BodyHash = "other"
				}
				d, settled := s.Propose(now, r)
				if !settled {
					replies := write()
					require.Len(t, replies, 1)
					d = replies[0].Decision
				}
				require.Equal(t, plain.Claim(now, r), d.Verdict)
				if d.Verdict == dedup.Granted {
					held[grants] = r
				}
			},
			"end": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing is held")
				}
				grant := rapid.SampledFrom(keys(held)).Draw(t, "grant")
				state := rapid.SampledFrom([]wire.ClaimState{wire.ClaimStateDone, wire.ClaimStateUnknown, wire.ClaimStateReleased}).Draw(t, "state")
				r := held[grant]
				delete(held, grant)
				if state == wire.ClaimStateReleased {
					s.Cancel(now, r)
				} else {
					s.Settle(now, r, state, "")
				}
				plain.Finish(r, state)
				if s.Work() {
					write()
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
				s.Forget(now)
			},
			"reload": func(*rapid.T) { s.Unsure(); store.load(now, s) },
			"another VM": func(*rapid.T) {
				s = &dedup.Shard{HeadClaims: 6}
				store.load(now, s)
			},
		})
	})
}

func keys(m map[int]dedup.Request) []int {
	var all []int
	for k := range m {
		all = append(all, k)
	}
	// Map order is not seeded.
	for i := range all {
		for j := i + 1; j < len(all); j++ {
			if all[j] < all[i] {
				all[i], all[j] = all[j], all[i]
			}
		}
	}
	return all
}

func TestAnswersAreKeptWithinTheirBound(t *testing.T) {
	store := newObjects()
	s := &dedup.Shard{}
	store.load(start, s)
	var last dedup.Request
	for i := range 20 {
		last = request(i, i)
		s.Propose(start, last)
		store.put(s.Next(start))
		s.Committed(start, store.version)
		s.Settle(start, last, wire.ClaimStateDone, strings.Repeat("x", 8<<10))
		store.put(s.Next(start))
		s.Committed(start, store.version)
	}
	total := 0
	for _, c := range store.recent {
		total += len(c.Answer)
	}
	require.LessOrEqual(t, total, 64<<10)
	again := request(19, 100)
	d, settled := s.Propose(start, again)
	require.True(t, settled)
	require.Equal(t, dedup.AlreadyRan, d.Verdict)
	require.Len(t, d.Answer, 8<<10)
	old, _ := s.Propose(start, request(0, 101))
	require.Equal(t, dedup.AlreadyRan, old.Verdict)
	require.Empty(t, old.Answer)
}

func TestPackIsSmall(t *testing.T) {
	var claims []wire.Claim
	for i := range 1000 {
		r := request(i, i)
		r.BodyHash, r.Grant = "0123456789abcdef", "89b73396-360d-4c21-a7fb-b6348d587099"
		claims = append(claims, dedup.NewClaim(start, r))
	}
	packed, err := dedup.Pack(claims)
	require.NoError(t, err)
	require.Less(t, len(packed), 160*len(claims))
	back, err := dedup.Unpack(packed)
	require.NoError(t, err)
	require.Equal(t, claims, back)
	_, err = dedup.Unpack("!")
	require.Error(t, err)
}
