package pick

import (
	"cmp"
	"slices"
	"time"
)

const (
	// deviations is how many mean deviations above the mean a response is expected to take at most.
	deviations = 2
	// overtakenDeviations is the same for a stream that more urgent requests overtake at its server. Those that arrive
	// later delay its first event and its tokens, and a VM that stopped cut such a stream off after twice the time
	// that it had expected.
	overtakenDeviations = 4
	// firstDeviation is the mean deviation after the first response, as a share of its time.
	firstDeviation = 0.5
	// spreadWeight is the weight of one response in a mean and its deviation.
	spreadWeight = 0.1
)

// spread is the moving mean of a value and its mean deviation.
type spread struct{ mean, deviation float64 }

// add returns the spread with one more measurement.
func (s spread) add(value float64) spread {
	if s == (spread{}) {
		return spread{mean: value, deviation: firstDeviation * value}
	}
	difference := value - s.mean
	s.mean += spreadWeight * difference
	s.deviation += spreadWeight * (max(difference, -difference) - s.deviation)
	return s
}

// high returns a value that few are above.
func (s spread) high() float64 { return s.above(deviations) }

// above returns the value that is a number of deviations above the mean.
func (s spread) above(deviations float64) float64 { return s.mean + deviations*s.deviation }

// workClass groups work whose responses take similarly long. limited is set for work whose callers state how many tokens
// they want at most; the times of its responses are kept for each such token.
type workClass struct {
	route   string
	limited bool
}

func classOf(w Work) workClass { return workClass{route: w.Route, limited: w.MaxOutputTokens > 0} }

// normalized returns a time of a response for each token that its caller wants at most, or the time itself if the caller
// states none.
func (w Work) normalized(took time.Duration) float64 {
	return float64(took) / float64(max(w.MaxOutputTokens, 1))
}

// ExpectedDuration returns the time within which a whole response of the chosen server is expected, counted from the
// send. Most responses take less. It reports false if nothing tells.
func (b *Balancer) ExpectedDuration(now time.Time, c Choice, w Work) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pace := cmp.Or(c.Pace, 1)
	if w.Model == "" {
		// The predicted time is the average of a server, whose routes may differ.
		return max(c.PredictedTime, scale(time.Duration(b.responseSpread(now, w).high()), pace)), true
	}
	if s := b.responseSpread(now, w); s != (spread{}) {
		high := s.high()
		if w.serverPriority() > topServerPriority {
			high = s.above(overtakenDeviations)
		}
		return c.PredictedTime + bound(pace*high*float64(max(w.MaxOutputTokens, 1))), true
	}
	return c.PredictedTime + scale(time.Duration(w.MaxOutputTokens)*b.tokenTime(w), pace), w.MaxOutputTokens > 0
}

// recordResponseSpread records how long a complete response took at a pace of 1. b.mu is held.
func (b *Balancer) recordResponseSpread(w Work, took time.Duration) {
	if b.responseSpreads == nil {
		b.responseSpreads = make(map[workClass]spread)
	}
	b.responseSpreads[classOf(w)] = b.responseSpreads[classOf(w)].add(w.normalized(took))
}

// addRunning adds an attempt to those in progress. b.mu is held.
func (b *Balancer) addRunning(a *Attempt) {
	if b.running == nil {
		b.running = make(map[*Attempt]struct{})
	}
	b.running[a] = struct{}{}
}

// responseSpread returns how long responses to work of a class take, zero if none is known. Attempts in progress that have
// taken longer than the mean count like complete ones: when responses become slower, the first complete ones come late.
// b.mu is held.
func (b *Balancer) responseSpread(now time.Time, w Work) spread {
	s := b.responseSpreads[classOf(w)]
	var ages []float64
	for a := range b.running {
		if age := a.work.normalized(scale(now.Sub(a.started), 1/a.pace)); classOf(a.work) == classOf(w) && age > s.mean {
			ages = append(ages, age)
		}
	}
	slices.Sort(ages)
	for _, age := range ages {
		s = s.add(age)
	}
	return s
}
