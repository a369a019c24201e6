// Package pick chooses the backend server for a request by when each would
// answer. It keeps the books that the prediction needs: what this VM has sent
// where, what other VMs say they have, which prompt prefixes a server has read,
// and how its last answers went. It does no I/O and reads no clock.
package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Work describes a request as far as a server's time for it depends on it.
type Work struct {
	// Route names the kind of request: its answers are of like length.
	Route string
	// Model is empty for services that run no models.
	Model, Adapter string
	// Slots is how many requests a server works on at once, Stride how many tokens an
	// event of a stream holds.
	Slots, Stride int
	// Size is the model's size against the largest of the service, 0 when
	// unknown.
	Size float64
	// Parts are the pieces of the prompt in order; the last is the request's or
	// its session's own.
	Parts []Part
	// Prompt and Output are tokens in, and the most that may come out.
	Prompt, Output int
	// Objective is the time within which the first event or answer is worth
	// most.
	Objective time.Duration
}

// chain returns a key for each prefix of the prompt. A server reuses a part
// only behind the same parts and for the same model and adapter, so the key
// covers them all.
func (w Work) chain() []uint64 {
	keys := make([]uint64, len(w.Parts))
	seed := xxhash.Sum64String(w.Model + "/" + w.Adapter)
	for i, p := range w.Parts {
		seed = mix(seed ^ xxhash.Sum64String(p.ID))
		keys[i] = seed
	}
	return keys
}

// shared returns the key of the longest prefix that other requests share, 0
// for none.
func (w Work) shared(chain []uint64) uint64 {
	if len(chain) < 2 {
		return 0
	}
	return chain[len(chain)-2]
}

func mix(h uint64) uint64 {
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>29
}

// rendezvous ranks a server for a prefix; all VMs agree on the highest without
// talking (Thaler and Ravishankar, 1998).
func rendezvous(id string, prefix uint64) uint64 {
	return mix(xxhash.Sum64String(id) ^ prefix*0x9e3779b97f4a7c15)
}
