package pick

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Load pattern: the streams of a route have 47 events on average, and a few have 160. A VM that stops and takes what is
// expected to end before its exit, by the mean and the mean deviation of what responses took, cuts off one of the longest
// in some ten stops. Their callers can not know whether they have run.
//
// Of requests that may run once at most and are no streams it therefore takes only what is as good as certain to end: the most
// tokens that the caller wants at the slowest rate of recent streams, or a response that is as far above the longest of enough
// recent ones as that is above their mean, whichever is shorter. Both are estimates: nothing bounds how much slower than lately
// a server may be. By them, most streams that would end in time would be refused too.

const (
	// recentResponses is the number of recent responses of which the longest counts, enoughResponses the number from which
	// they show how long the longest are.
	recentResponses = 64
	enoughResponses = 32
	// someResponses is the number of recent responses from which their mean and its deviation show how long most take.
	someResponses = 8
	// longestMargin is how many times as long as the longest of enough recent responses one is at most if these are of
	// similar length, fewMargin the same for fewer responses.
	longestMargin = 2
	fewMargin     = 4
	// unmeasuredTokenTime is the time of a token at most where none was measured, unmeasuredTime that of a response
	// without a model. A VM that has just started knows nothing of its servers.
	unmeasuredTokenTime = 100 * time.Millisecond
	unmeasuredTime      = 2 * time.Second
)

// recentValues holds the last values of something that was measured. The zero value is empty.
type recentValues struct {
	values []float64
	next   int
}

func (r *recentValues) add(value float64) {
	if len(r.values) < recentResponses {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % recentResponses
}

// enough reports whether there are enough values for the highest of them to tell how high they become.
func (r *recentValues) enough() bool { return r != nil && len(r.values) >= enoughResponses }

// highest returns the highest of the values, 0 without any.
func (r *recentValues) highest() float64 {
	if r == nil || len(r.values) == 0 {
		return 0
	}
	return slices.Max(r.values)
}

// above returns a value that is as good as certain to be above the next one.
func (r *recentValues) above() float64 {
	if !r.enough() {
		return fewMargin * r.highest()
	}
	sum := 0.0
	for _, v := range r.values {
		sum += v
	}
	highest := r.highest()
	return highest * max(longestMargin, highest*float64(len(r.values))/max(sum, 1))
}

// recentWork is what recent responses to work of a class took, at a pace of 1.
type recentWork struct {
	// took are the times of whole responses without their longest pauses, normalized. delays are how much later than
	// predicted their first events came, pauses the longest times between two events. tokenTimes are the decode times of a
	// token in the streams, which may be of several models.
	took, delays, pauses, tokenTimes recentValues
}

// LongestDuration returns the time within which a whole response of the chosen server is as good as certain to have ended,
// counted from the send, if the server pauses for no longer than it did lately. It reports false if nothing bounds it.
func (b *Balancer) LongestDuration(now time.Time, c Choice, w Work) (time.Duration, bool) {
	expected, _ := b.ExpectedDuration(now, c, w)
	b.mu.Lock()
	defer b.mu.Unlock()
	longest, bounded := b.longestResponse(now, c, w)
	return min(max(expected, longest), foreverTime), bounded
}

// ProbableDuration returns the time within which most whole responses of the chosen server have ended, counted from the send:
// the expected one where some recent responses show it, the longest one otherwise. It reports false if nothing tells.
func (b *Balancer) ProbableDuration(now time.Time, c Choice, w Work) (time.Duration, bool) {
	if b.recentResponsesOf(w) < someResponses {
		return b.LongestDuration(now, c, w)
	}
	return b.ExpectedDuration(now, c, w)
}

// recentResponsesOf returns how many recent responses to work of a class are known.
func (b *Balancer) recentResponsesOf(w Work) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.recentWorkOf(w).took.values)
}

// foreverTime is longer than any response. Times can be added to it.
const foreverTime = time.Duration(math.MaxInt64 / 4)

// bound converts a number of nanoseconds, which a caller's maximum of tokens may make too high for a duration.
func bound(nanoseconds float64) time.Duration {
	return time.Duration(min(nanoseconds, float64(foreverTime)))
}

// longestResponse returns the bound of LongestDuration by recent responses. b.mu is held.
func (b *Balancer) longestResponse(now time.Time, c Choice, w Work) (time.Duration, bool) {
	recent := b.recentWorkOf(w)
	if w.Model == "" {
		return b.longestWithoutModel(now, c, w, recent), true
	}
	return b.longestWithModel(now, c, w, recent)
}

// recentWorkOf returns what recent responses to work of a class took. b.mu is held.
func (b *Balancer) recentWorkOf(w Work) *recentWork {
	if recent := b.recentWork[classOf(w)]; recent != nil {
		return recent
	}
	return &recentWork{}
}

// longestWithoutModel does that for work without a model. Responses of a route are of similar length, and one that is much
// longer has met a silence of its server. Without any, those of the server are all that is known. b.mu is held.
func (b *Balancer) longestWithoutModel(now time.Time, c Choice, w Work, recent *recentWork) time.Duration {
	margin, shortest := fewMargin, scale(c.PredictedTime, fewMargin)
	switch {
	case recent.took.enough():
		margin = longestMargin
	case recent.took.highest() == 0:
		shortest = max(shortest, unmeasuredTime)
	}
	longest := max(float64(margin)*recent.took.highest(), b.oldestRunning(now, w))
	return c.PredictedTime + max(bound(cmp.Or(c.Pace, 1)*longest), shortest)
}

// longestWithModel does that for work with a model, by the response as a whole and by its tokens. b.mu is held.
func (b *Balancer) longestWithModel(now time.Time, c Choice, w Work, recent *recentWork) (time.Duration, bool) {
	pace := cmp.Or(c.Pace, 1)
	pauses := recent.pauses.highest()
	times := b.recentTokenTimes[w.Model]
	above := max(recent.took.above()*b.slowness(w, times, recent.tokenTimes), b.oldestRunning(now, w))
	byResponses := c.PredictedTime + bound(pace*(above*float64(max(w.MaxOutputTokens, 1))+pauses))
	switch {
	case w.MaxOutputTokens <= 0:
		return byResponses, recent.took.enough()
	case times == nil && recent.took.enough():
		return byResponses, true
	}
	byTokens := b.longestByTokens(c, w, recent)
	switch {
	case times == nil:
		return max(byTokens, byResponses), true
	case recent.took.enough():
		return min(byTokens, byResponses), true
	}
	return byTokens, true
}

// longestByTokens does that by the most tokens that the caller wants, at the slowest rate of recent streams of the work's model.
// b.mu is held.
func (b *Balancer) longestByTokens(c Choice, w Work, recent *recentWork) time.Duration {
	pace := cmp.Or(c.Pace, 1)
	times := b.recentTokenTimes[w.Model]
	if times == nil {
		return c.PredictedTime + bound(pace*float64(w.MaxOutputTokens)*float64(unmeasuredTokenTime))
	}
	slowest := times.highest()
	if !times.enough() {
		slowest *= longestMargin
	}
	return c.PredictedTime + bound(pace*(slowest*float64(w.MaxOutputTokens)+recent.delays.highest()+recent.pauses.highest()))
}

// oldestRunning returns how long the oldest response in progress to work of a class has taken at a pace of 1, normalized, 0
// without any: the longest responses are complete last. b.mu is held.
func (b *Balancer) oldestRunning(now time.Time, w Work) float64 {
	oldest := 0.0
	for a := range b.running {
		if classOf(a.work) == classOf(w) {
			oldest = max(oldest, a.work.normalized(scale(now.Sub(a.started), 1/a.pace)))
		}
	}
	return oldest
}

// slowness returns how many times as long as the slowest of a route's recent streams, of any model, one of the work's model
// takes for a token, 1 at least. times are the token times of its model. b.mu is held.
func (b *Balancer) slowness(w Work, times *recentValues, ofRoute recentValues) float64 {
	slowest := times.highest()
	if slowest == 0 {
		slowest = float64(b.tokenTime(w))
	}
	if highest := ofRoute.highest(); highest > 0 {
		return max(slowest/highest, 1)
	}
	return 1
}

// recordLongest records what a complete response took, usual at a pace of 1. b.mu is held.
func (b *Balancer) recordLongest(a *Attempt, usual time.Duration) {
	if b.recentWork == nil {
		b.recentWork, b.recentTokenTimes = make(map[workClass]*recentWork), make(map[string]*recentValues)
	}
	w := a.work
	recent := b.recentWork[classOf(w)]
	if recent == nil {
		recent = &recentWork{}
		b.recentWork[classOf(w)] = recent
	}
	recent.took.add(w.normalized(usual - scale(a.longestPause, 1/a.pace)))
	if a.events == 0 {
		return
	}
	recent.delays.add(float64(max(scale(a.firstEventAt.Sub(a.started)-a.predicted, 1/a.pace), 0)))
	recent.pauses.add(float64(scale(a.longestPause, 1/a.pace)))
	if a.events < minMeasuredEvents || w.TokensPerEvent <= 0 {
		return
	}
	// The longest pause is counted by itself.
	took := scale(a.streamTook-a.longestPause, 1/a.pace)
	times := b.recentTokenTimes[w.Model]
	if times == nil {
		times = &recentValues{}
		b.recentTokenTimes[w.Model] = times
	}
	tokenTime := float64(took) / float64((a.events-2)*w.TokensPerEvent)
	times.add(tokenTime)
	recent.tokenTimes.add(tokenTime)
}
