package replay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// trafficTick is the interval over which the demand is constant.
const trafficTick = 100 * time.Millisecond

// scheduleTraffic schedules the arrivals of each tick.
func (sim *simulation) scheduleTraffic() {
	sim.schedulePeriodic(0, trafficTick, sim.pattern.Length-trafficTick, func() {
		at := sim.now
		for i := range sim.pattern.Classes {
			class := &sim.pattern.Classes[i]
			shares := sim.pattern.demandShares(class, at)
			for range poisson(sim.rng, sim.pattern.requestRate(class, at)*trafficTick.Seconds()) {
				r := sim.newRequest(class, drawIndex(sim.rng, shares))
				sim.scheduleAfter(time.Duration(sim.rng.Int64N(int64(trafficTick))), func() {
					r.arrivedAt, r.firstArrivedAt = sim.now, sim.now
					sim.tally.recordRequest(r)
					r.vm.receive(r)
				})
			}
		}
	})
}

func (sim *simulation) newRequest(class *RequestClass, model int) *request {
	r := &request{class: class, model: model, promptTokens: class.UniqueTokens.draw(sim.rng), outputTokens: class.OutputTokens.draw(sim.rng)}
	if n := sim.pattern.Fleet.Models[model].AdapterCount; n > 0 && sim.rng.Float64() < class.AdapterShare {
		r.adapter = 1 + sim.rng.IntN(n)
	}
	key := uint64(0)
	for i, prompt := range class.SharedPrompts {
		variant := sim.rng.IntN(prompt.Variants)
		key = key*1009 + uint64(variant) + 1
		// The length is that of the shared part, so it must be the same for all requests.
		tokens := prompt.Tokens.draw(rand.New(rand.NewPCG(key, uint64(i))))
		r.sharedParts = append(r.sharedParts, sharedPart{key, tokens})
		r.promptTokens += tokens
	}
	r.vm = sim.vms[sim.rng.IntN(len(sim.vms))]
	r.work = sim.newWork(class, model)
	r.work.PromptTokens = r.promptTokens
	if r.adapter > 0 {
		r.work.Adapter = adapterName(r.adapter)
	}
	for _, p := range r.sharedParts {
		r.work.PromptParts = append(r.work.PromptParts, pick.PromptPart{ID: partID(class, p.key), Tokens: p.tokens})
	}
	r.work.PromptParts = append(r.work.PromptParts, pick.PromptPart{ID: partID(class, sim.rng.Uint64()), Tokens: max(r.promptTokens-sharedTokens(r), 1)})
	return r
}

// newWork returns the description of a request that server selection uses, without the prompt.
func (sim *simulation) newWork(class *RequestClass, model int) pick.Work {
	spec := sim.pattern.Fleet.ServerSpec
	priority := class.Priority
	switch {
	case sim.variant.UndividedLoad:
		priority = 0
	case sim.variant.TwoLevels && priority > sim.pattern.topPriority():
		priority = pick.ServerPriorities - 1
	}
	maxEventGap := class.MaxEventGap
	if sim.variant.IgnorePauses {
		maxEventGap = 0
	}
	return pick.Work{
		Priority: priority, MaxEventGap: maxEventGap,
		Route: class.Name, Model: modelName(model), Slots: spec.Slots, TokensPerEvent: spec.TokensPerEvent,
		RelativeModelSize: sim.engine.RelativeSize(modelName(model)), MaxOutputTokens: int(class.OutputTokens.Max), Objective: class.Objective,
	}
}

func sharedTokens(r *request) int {
	n := 0
	for _, p := range r.sharedParts {
		n += p.tokens
	}
	return n
}

func partID(class *RequestClass, key uint64) string {
	const digits = "0123456789abcdef"
	b := make([]byte, 0, len(class.Name)+17)
	b = append(append(b, class.Name...), '-')
	for range 16 {
		b = append(b, digits[key&15])
		key >>= 4
	}
	return string(b)
}

// poisson draws from the Poisson distribution with the given mean.
func poisson(rng *rand.Rand, mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

// drawIndex draws an index with the given probabilities.
func drawIndex(rng *rand.Rand, probabilities []float64) int {
	x := rng.Float64()
	for i, probability := range probabilities {
		if x -= probability; x < 0 {
			return i
		}
	}
	return 0
}
