package pick

import "time"

// Load pattern: demand moves between models of which some run four times as fast as
// others, and prompts are short or long. A count of requests, or of tokens, says
// little of how many servers a model needs. What counts is the share of a server's
// time that its requests take: the reading of prompts, during which nothing else goes
// on, and a slot's part of the time for the answer.

const (
	// lengthShare is how much of the most output a caller allows is taken to come
	// until answers have shown it, lengthWeight the weight of one answer.
	lengthShare  = 0.5
	lengthWeight = 0.02
	// stepTime is the time of a token of the largest model until answers have shown
	// it: by the data sheets 4.4 to 5.3 ms with some tens of requests beside it.
	stepTime = 5 * time.Millisecond
	// quickWeight and slowWeight are the weights of an answer whose events came
	// quicker, or slower, than known: what is looked for is a server with nothing to
	// read, and most have something.
	quickWeight = 0.2
	slowWeight  = 0.02
	// firstStep is the part of the time to a first event that is not reading: the way,
	// and a step of some 5 ms.
	firstStep = 7 * time.Millisecond
)

// Cost returns how much of a server's whole time a request takes.
func (b *Book) Cost(w Work) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing := max(float64(w.Prompt)-ownerShare*float64(sharedTokens(w)), 1)
	reading := time.Duration(missing / b.rate(w) * float64(time.Millisecond))
	return reading + b.answering(w)/time.Duration(max(w.Slots, 1))
}

// answering returns how long the answer to a request takes at a server that reads
// nothing meanwhile. b.mu is held.
func (b *Book) answering(w Work) time.Duration {
	return time.Duration(b.outputTokens(w) * float64(b.step(w)))
}

// outputTokens returns how many tokens an answer is expected to have. b.mu is held.
func (b *Book) outputTokens(w Work) float64 {
	share, ok := b.lengths[w.Route]
	if !ok {
		share = lengthShare
	}
	return share * float64(w.Output)
}

// step returns the time of a token of the work's model. b.mu is held.
func (b *Book) step(w Work) time.Duration {
	if d, ok := b.steps[w.Model]; ok {
		return d
	}
	if w.Size > 0 {
		return time.Duration(w.Size * float64(stepTime))
	}
	return stepTime
}

// Streamed notes a whole answer of some events, and how long after the first the last
// one came.
func (t *Ticket) Streamed(events int, took time.Duration) {
	t.book.mu.Lock()
	defer t.book.mu.Unlock()
	t.book.streamed(t.work, events, took)
}

func (b *Book) streamed(w Work, events int, took time.Duration) {
	if w.Output <= 0 || w.Stride <= 0 || events <= 0 {
		return
	}
	if b.lengths == nil {
		b.lengths, b.steps = make(map[string]float64), make(map[string]time.Duration)
	}
	known, ok := b.lengths[w.Route]
	if !ok {
		known = lengthShare
	}
	b.lengths[w.Route] = known + lengthWeight*(float64(events*w.Stride)/float64(w.Output)-known)
	if events < 2 {
		return
	}
	shown := took / time.Duration((events-1)*w.Stride)
	weight := quickWeight
	if shown > b.step(w) {
		weight = slowWeight
	}
	b.steps[w.Model] = b.step(w) + time.Duration(weight*float64(shown-b.step(w)))
}
