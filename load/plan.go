// Package load generates open-loop load: it sends requests on a seeded schedule,
// whether or not earlier ones have completed. It compares each response with the
// one that the stand-ins of package stand generate for this request.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Kind is the kind of a request.
type Kind int

const (
	// KindStream requests a streamed chat completion.
	KindStream Kind = iota
	// KindCompletion requests a completion in a single response.
	KindCompletion
	// KindService calls a plain service.
	KindService
)

// Class is a class of requests with the same profile, kind and rate.
type Class struct {
	Name    string
	Profile wire.Profile
	Kind    Kind
	// CallerKey is the API key of the caller, "" for none.
	CallerKey string
	// Rate is the mean number of requests per second.
	Rate float64
	// BurstFactor multiplies the rate from BurstStart to BurstEnd.
	BurstFactor          float64
	BurstStart, BurstEnd time.Duration
	MaxTokens            int
	// ZipfExponent is the exponent of the Zipf distribution of models; 0 is a uniform
	// distribution.
	ZipfExponent float64
	// RepeatShare is the fraction of at-most-once requests that are sent twice with
	// the same idempotency key.
	RepeatShare float64
}

// AtMostOnce reports whether requests of the class may run at most once.
func (c Class) AtMostOnce() bool { return c.Profile.RunsAllowed == 1 }

// Arrival is one request of the schedule.
type Arrival struct {
	Offset time.Duration
	Class  int
	ID     string
	// IdempotencyKey is the idempotency key of an at-most-once request.
	IdempotencyKey string
	Model          string
	Adapter        string
	Prompt         string
	MaxTokens      int
}

// Schedule returns the arrivals within a duration, sorted by time. The arrivals of
// each class are a Poisson process.
func Schedule(seed uint64, length time.Duration, classes []Class) []Arrival {
	var all []Arrival
	for i, c := range classes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		s := &scheduler{rng: rng, class: c, index: i, seed: seed}
		all = append(all, s.arrivals(length)...)
	}
	sortArrivals(all)
	return all
}

type scheduler struct {
	rng          *rand.Rand
	class        Class
	index        int
	seed         uint64
	arrivalCount int
}

// arrivals returns the arrivals of the class, by thinning of a Poisson process with
// the peak rate (Lewis and Shedler, 1979).
func (s *scheduler) arrivals(length time.Duration) []Arrival {
	peakRate := s.class.Rate * math.Max(s.class.BurstFactor, 1)
	if peakRate <= 0 {
		return nil
	}
	var all []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(s.rng.ExpFloat64() / peakRate * float64(time.Second))
		if at >= length {
			return all
		}
		if s.rng.Float64()*peakRate > s.rateAt(at) {
			continue
		}
		a := s.newArrival(at)
		all = append(all, a)
		if a.IdempotencyKey != "" && s.rng.Float64() < s.class.RepeatShare {
			repeated := a
			repeated.Offset += time.Duration(s.rng.Int64N(int64(200 * time.Millisecond)))
			all = append(all, repeated)
		}
	}
}

func (s *scheduler) rateAt(at time.Duration) float64 {
	if s.class.BurstFactor > 1 && at >= s.class.BurstStart && at < s.class.BurstEnd {
		return s.class.Rate * s.class.BurstFactor
	}
	return s.class.Rate
}

func (s *scheduler) newArrival(at time.Duration) Arrival {
	s.arrivalCount++
	a := Arrival{Offset: at, Class: s.index, ID: fmt.Sprintf("%d-%d-%d", s.seed, s.index, s.arrivalCount)}
	a.Prompt = fmt.Sprintf("Menu %d: name the allergens. %s", s.rng.IntN(16), stand.Marker(a.ID))
	a.MaxTokens = s.class.MaxTokens
	if a.MaxTokens == 0 {
		a.MaxTokens = 32
	}
	if s.class.AtMostOnce() {
		a.IdempotencyKey = "key-" + a.ID
	}
	if models := s.class.Profile.Models; len(models) > 0 {
		m := models[s.pickIndex(len(models))]
		a.Model = m.Name
		if n := len(m.Adapters); n > 0 && s.rng.Float64() < 0.5 {
			a.Adapter = m.Adapters[s.rng.IntN(n)].Name
		}
	}
	return a
}

// pickIndex returns a random index below n, Zipf-distributed if ZipfExponent
// is set.
func (s *scheduler) pickIndex(n int) int {
	if s.class.ZipfExponent == 0 {
		return s.rng.IntN(n)
	}
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -s.class.ZipfExponent)
	}
	target := s.rng.Float64() * total
	for i := range n {
		target -= math.Pow(float64(i+1), -s.class.ZipfExponent)
		if target <= 0 {
			return i
		}
	}
	return n - 1
}
