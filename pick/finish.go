package pick

import (
	"cmp"
	"slices"
	"time"
)

const (
	// deviations is how many mean deviations above the mean a response is expected to end at the latest.
	deviations = 2
	// defaultDeviation is the mean deviation as a share of the mean until several responses have been measured.
	defaultDeviation = 0.5
	// spreadWeight is the weight of one response in a mean and its deviation.
	spreadWeight = 0.1
)

// spread is the moving mean of a value and its mean deviation.
type spread struct{ mean, deviation float64 }

// newSpread returns the spread of a value that was assumed or measured once.
func newSpread(value float64) spread {
	return spread{mean: value, deviation: defaultDeviation * value}
}

// add returns the spread with one more measurement. The first one replaces what was assumed.
func (s spread) add(value float64) spread {
	if s == (spread{}) {
		return newSpread(value)
	}
	difference := value - s.mean
	s.mean += spreadWeight * difference
	s.deviation += spreadWeight * (max(difference, -difference) - s.deviation)
	return s
}

// high returns a value that few are above.
func (s spread) high() float64 { return s.mean + deviations*s.deviation }

// ExpectedDuration returns the time within which a whole response of the chosen server is expected, counted from the
// send. Nearly all responses take less. It reports false if nothing tells.
func (b *Balancer) ExpectedDuration(now time.Time, c Choice, w Work) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.Model == "" {
		return c.PredictedTime, true
	}
	if _, measured := b.tokenSpreads[w.Model]; !measured || w.MaxOutputTokens <= 0 {
		if took := b.responseSpread(now, w); took != (spread{}) || w.MaxOutputTokens <= 0 {
			return c.PredictedTime + time.Duration(took.high()), took != spread{}
		}
	}
	share := cmp.Or(b.outputSpreads[w.Route], newSpread(defaultOutputShare))
	pace := cmp.Or(b.tokenSpreads[w.Model], newSpread(float64(b.tokenTime(w))))
	return c.PredictedTime + time.Duration(min(share.high(), 1)*float64(w.MaxOutputTokens)*pace.high()), true
}

// recordSpread records the output of a response as a share of the maximum and, if it is not 0, the time of a token.
// b.mu is held.
func (b *Balancer) recordSpread(w Work, share float64, tokenTime time.Duration) {
	if b.outputSpreads == nil {
		b.outputSpreads, b.tokenSpreads = make(map[string]spread), make(map[string]spread)
	}
	b.outputSpreads[w.Route] = b.outputSpreads[w.Route].add(share)
	if tokenTime > 0 {
		b.tokenSpreads[w.Model] = b.tokenSpreads[w.Model].add(float64(tokenTime))
	}
}

// recordResponseSpread records how long a complete response of a model server took. b.mu is held.
func (b *Balancer) recordResponseSpread(w Work, took time.Duration) {
	if b.responseSpreads == nil {
		b.responseSpreads = make(map[string]spread)
	}
	b.responseSpreads[w.Route] = b.responseSpreads[w.Route].add(float64(took))
}

// addRunning adds an attempt to those in progress. b.mu is held.
func (b *Balancer) addRunning(a *Attempt) {
	if b.running == nil {
		b.running = make(map[*Attempt]struct{})
	}
	b.running[a] = struct{}{}
}

// responseSpread returns how long responses to work of a route take, zero if none is known. Attempts in progress that have taken longer than the
// mean count like complete ones: when responses become slower, the first complete ones come late. b.mu is held.
func (b *Balancer) responseSpread(now time.Time, w Work) spread {
	s := b.responseSpreads[w.Route]
	var ages []float64
	for a := range b.running {
		if age := float64(now.Sub(a.started)); a.work.Route == w.Route && age > s.mean {
			ages = append(ages, age)
		}
	}
	slices.Sort(ages)
	for _, age := range ages {
		s = s.add(age)
	}
	return s
}
