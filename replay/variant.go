package replay

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

// Variant says in what a replay differs from the system as it is: what it does without, or
// what it knows beyond what can be known. The zero value differs in nothing.
type Variant struct {
	// Random sends a request to any server that holds its model, Still moves no models:
	// together they are the simplest form of the system.
	Random, Still bool
	// Exact lets each VM know at once what all of them have sent.
	Exact bool
	// Foreseen tells the controller the demand of so much later in place of what was
	// asked for.
	Foreseen time.Duration
	// Instant lets loads take hardly any time, at any rate.
	Instant bool
}

const (
	// instantLoad is the time of a load that takes hardly any.
	instantLoad = 50 * time.Millisecond
	// boundless is a rate or number beyond what any pattern reaches.
	boundless = 1e6
	// foreseenRequests stands for so many requests that chance counts for nothing.
	foreseenRequests = 10_000
)

func (v Variant) apply(f *Fleet) {
	if !v.Instant {
		return
	}
	f.LoadsPerSecond, f.AtOnce = boundless, boundless
	f.Models = append([]Model(nil), f.Models...)
	for i := range f.Models {
		f.Models[i].Load, f.Models[i].Disk, f.Models[i].Warm = instantLoad, instantLoad, instantLoad
	}
}

// foresee tells the controller the demand of later, as a VM would report it.
func (w *world) foresee(v *vm) {
	at := w.now + w.variant.Foreseen
	if at < 0 {
		return
	}
	pause := pauseOf(w.links()).Seconds()
	work := make([]float64, len(w.p.Fleet.Models))
	for i := range w.p.Kinds {
		k := &w.p.Kinds[i]
		rate := w.p.rate(k, at)
		for m, part := range w.p.weights(k, at) {
			if part > 0 {
				work[m] += rate * part * pause * v.book.Cost(w.meanWork(k, m)).Seconds()
			}
		}
	}
	var wants []steer.ModelDemand
	for m, seconds := range work {
		if seconds > 0 {
			wants = append(wants, steer.ModelDemand{
				Service: serviceName, Model: modelName(m), Requests: foreseenRequests, ServerTime: time.Duration(seconds * float64(time.Second)),
			})
		}
	}
	w.control.RecordVMReport(w.time(), v.name, nil, wants)
}

// meanWork is a request of a kind whose sizes are the means.
func (w *world) meanWork(k *Kind, model int) pick.Work {
	work := w.work(k, model)
	work.PromptTokens = int(k.Own.Mean)
	for _, s := range k.Shared {
		work.PromptTokens += int(s.Tokens.Mean)
		work.PromptParts = append(work.PromptParts, pick.PromptPart{Tokens: int(s.Tokens.Mean)})
	}
	work.PromptParts = append(work.PromptParts, pick.PromptPart{Tokens: int(k.Own.Mean)})
	return work
}
