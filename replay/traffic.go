package replay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// trafficTick is the length of time over which the demand is taken to be constant.
const trafficTick = 100 * time.Millisecond

// traffic plans the arrivals, tick by tick.
func (w *world) traffic() {
	w.every(0, trafficTick, w.p.Length-trafficTick, func() {
		at := w.now
		for i := range w.p.Kinds {
			k := &w.p.Kinds[i]
			weights := w.p.weights(k, at)
			for range poisson(w.rng, w.p.rate(k, at)*trafficTick.Seconds()) {
				r := w.request(k, drawn(w.rng, weights))
				w.after(time.Duration(w.rng.Int64N(int64(trafficTick))), func() {
					r.arrived, r.firstArrived = w.now, w.now
					w.tally.asked(r)
					r.vm.arrive(r)
				})
			}
		}
	})
}

func (w *world) request(k *Kind, model int) *request {
	r := &request{kind: k, model: model, prompt: k.Own.draw(w.rng), output: k.Output.draw(w.rng)}
	if n := w.p.Fleet.Models[model].Adapters; n > 0 && w.rng.Float64() < k.Adapted {
		r.adapter = 1 + w.rng.IntN(n)
	}
	key := uint64(0)
	for i, s := range k.Shared {
		thing := w.rng.IntN(s.Things)
		key = key*1009 + uint64(thing) + 1
		// The length of a part is its own, not the request's.
		tokens := s.Tokens.draw(rand.New(rand.NewPCG(key, uint64(i))))
		r.shared = append(r.shared, sharedPart{key, tokens})
		r.prompt += tokens
	}
	r.vm = w.vms[w.rng.IntN(len(w.vms))]
	r.work = w.work(k, model)
	r.work.PromptTokens = r.prompt
	if r.adapter > 0 {
		r.work.Adapter = adapterName(r.adapter)
	}
	for _, p := range r.shared {
		r.work.PromptParts = append(r.work.PromptParts, pick.PromptPart{ID: partName(k, p.key), Tokens: p.tokens})
	}
	r.work.PromptParts = append(r.work.PromptParts, pick.PromptPart{ID: partName(k, w.rng.Uint64()), Tokens: max(r.prompt-sharedTokens(r), 1)})
	return r
}

// work is what a request of a kind for a model tells of itself, without its prompt.
func (w *world) work(k *Kind, model int) pick.Work {
	s := w.p.Fleet.Server
	return pick.Work{
		Route: k.Name, Model: modelName(model), Slots: s.Slots, TokensPerEvent: s.TokensPerEvent,
		RelativeModelSize: w.engine.RelativeSize(modelName(model)), MaxOutputTokens: int(k.Output.Most), Objective: k.Objective,
	}
}

func sharedTokens(r *request) int {
	n := 0
	for _, p := range r.shared {
		n += p.tokens
	}
	return n
}

func partName(k *Kind, key uint64) string {
	const digits = "0123456789abcdef"
	b := make([]byte, 0, len(k.Name)+17)
	b = append(append(b, k.Name...), '-')
	for range 16 {
		b = append(b, digits[key&15])
		key >>= 4
	}
	return string(b)
}

// poisson draws how many events fall into a span with a mean number of them.
func poisson(rng *rand.Rand, mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

// drawn draws an index by weights that add up to one.
func drawn(rng *rand.Rand, weights []float64) int {
	x := rng.Float64()
	for i, p := range weights {
		if x -= p; x < 0 {
			return i
		}
	}
	return 0
}
