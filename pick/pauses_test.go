package pick_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// pauseScene is a balancer with a fast and a slow server, and streams that pause for at most 300 ms.
type pauseScene struct {
	balancer *pick.Balancer
	servers  []backs.Entry
	work     pick.Work
	now      time.Time
}

func newPauseScene(paces map[string]float64) *pauseScene {
	s := &pauseScene{balancer: &pick.Balancer{Pace: func(_ time.Time, id string) float64 { return paces[id] }}, now: time.Unix(1000, 0)}
	for _, id := range []string{"fast", "slow"} {
		s.servers = append(s.servers, backs.Entry{ID: id, Service: "s", Slots: 64})
	}
	s.work = pick.Work{Route: "chat", Model: "m", PromptTokens: 100, MaxOutputTokens: 100, MaxEventGap: 300 * time.Millisecond}
	return s
}

// stream runs a stream on a server that pauses once.
func (s *pauseScene) stream(server backs.Entry, pause time.Duration) {
	choice, _ := s.balancer.Choose(s.now, []backs.Entry{server}, s.work, 0, nil)
	a := s.balancer.Begin(s.now, choice, s.work, 0)
	a.LongestPause(pause)
	a.End(s.now, pick.Neutral)
}

// slowShare returns the share of requests that go to the slow server.
func (s *pauseScene) slowShare() float64 {
	const requests = 400
	slow := 0
	for range requests {
		choice, _ := s.balancer.Choose(s.now, s.servers, s.work, 0, nil)
		if choice.Server.ID == "slow" {
			slow++
		}
	}
	return float64(slow) / requests
}

// Guards against streams that go to servers on which they pause for too long, and against a choice that changes where
// pauses say nothing.
func TestPausesInChoice(t *testing.T) {
	unequal, equal := map[string]float64{"fast": 0.5, "slow": 1.2}, map[string]float64{"fast": 1, "slow": 1}
	// unequalShare is the share of the slow server by its pace alone.
	unequalShare := newPauseScene(unequal).slowShare()
	tests := map[string]struct {
		paces    map[string]float64
		streams  int
		pause    time.Duration
		limit    time.Duration
		min, max float64
	}{
		"none seen":                        {unequal, 0, 0, 300 * time.Millisecond, unequalShare - 0.1, unequalShare + 0.1},
		"one stream proves little":         {unequal, 1, 200 * time.Millisecond, 300 * time.Millisecond, 0.05, unequalShare + 0.1},
		"too long on the slow one":         {unequal, 64, 200 * time.Millisecond, 300 * time.Millisecond, 0, 0},
		"short on both":                    {unequal, 64, 20 * time.Millisecond, 300 * time.Millisecond, unequalShare - 0.1, unequalShare + 0.1},
		"too long on both":                 {unequal, 64, 400 * time.Millisecond, 300 * time.Millisecond, unequalShare - 0.1, unequalShare + 0.1},
		"no limit":                         {unequal, 64, 200 * time.Millisecond, 0, unequalShare - 0.1, unequalShare + 0.1},
		"servers of equal pace":            {equal, 64, 400 * time.Millisecond, 300 * time.Millisecond, 0.4, 0.6},
		"as many long ones as are counted": {unequal, 1000, 200 * time.Millisecond, 300 * time.Millisecond, 0, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newPauseScene(tc.paces)
			s.work.MaxEventGap = tc.limit
			for range tc.streams {
				// A pause of the fast server, which the slow one makes longer by the ratio of their paces.
				s.stream(s.servers[0], tc.pause)
			}
			share := s.slowShare()
			require.GreaterOrEqual(t, share, tc.min)
			require.LessOrEqual(t, share, tc.max)
		})
	}
}

// Guards against long pauses that are held against slow servers after they have ended.
func TestPausesAreForgotten(t *testing.T) {
	s := newPauseScene(map[string]float64{"fast": 0.5, "slow": 1.2})
	for range 64 {
		s.stream(s.servers[0], 200*time.Millisecond)
	}
	require.Zero(t, s.slowShare())
	for range 64 {
		s.stream(s.servers[1], 20*time.Millisecond)
	}
	require.Positive(t, s.slowShare())
}
