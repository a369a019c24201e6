package pick

import (
	"cmp"
	"time"
)

const (
	// deviations is how many mean deviations above the mean a response is expected to end at the latest.
	deviations = 2
	// defaultDeviation is the mean deviation as a share of the mean until responses have been measured.
	defaultDeviation = 0.5
	// spreadWeight is the weight of one response in a mean and its deviation.
	spreadWeight = 0.1
)

// spread is the moving mean of a value and its mean deviation.
type spread struct{ mean, deviation float64 }

// newSpread returns the spread of a value that has not been measured.
func newSpread(assumed float64) spread {
	return spread{mean: assumed, deviation: defaultDeviation * assumed}
}

func (s spread) add(value float64) spread {
	difference := value - s.mean
	s.mean += spreadWeight * difference
	s.deviation += spreadWeight * (max(difference, -difference) - s.deviation)
	return s
}

// high returns a value that few are above.
func (s spread) high() float64 { return s.mean + deviations*s.deviation }

// ExpectedDuration returns the time within which a whole response of the chosen server is expected, counted from the
// send. Nearly all responses take less.
func (b *Balancer) ExpectedDuration(c Choice, w Work) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case w.Model == "":
		return c.PredictedTime
	case w.MaxOutputTokens <= 0:
		return c.PredictedTime + b.modelResponseTime(c.Server.Service)
	}
	share := cmp.Or(b.outputSpreads[w.Route], newSpread(defaultOutputShare))
	pace := cmp.Or(b.tokenSpreads[w.Model], newSpread(float64(b.tokenTime(w))))
	return c.PredictedTime + time.Duration(min(share.high(), 1)*float64(w.MaxOutputTokens)*pace.high())
}

// recordSpread records the output of a response as a share of the maximum and, if it is not 0, the time of a token.
// b.mu is held.
func (b *Balancer) recordSpread(w Work, share float64, tokenTime time.Duration) {
	if b.outputSpreads == nil {
		b.outputSpreads, b.tokenSpreads = make(map[string]spread), make(map[string]spread)
	}
	b.outputSpreads[w.Route] = cmp.Or(b.outputSpreads[w.Route], newSpread(defaultOutputShare)).add(share)
	if tokenTime > 0 {
		b.tokenSpreads[w.Model] = cmp.Or(b.tokenSpreads[w.Model], newSpread(float64(b.tokenTime(w)))).add(float64(tokenTime))
	}
}
