// Package pick chooses the backend server for a request by predicted latency. The
// prediction uses the requests that this VM has sent to each server, the load reported
// by other VMs, the prompt prefixes that each server has cached, and the results of its
// recent requests. The package does no I/O and reads no clock.
package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a section of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Work describes the properties of a request that determine its time on a server.
type Work struct {
	// Route is the name of the request's route. Its responses are of similar length.
	Route string
	// Model is empty for services that run no models.
	Model, Adapter string
	// Slots is the number of requests that a server runs concurrently,
	// TokensPerEvent the number of tokens in an event of a stream.
	Slots, TokensPerEvent int
	// RelativeModelSize is the model's size relative to the largest of the service, 0 when
	// unknown.
	RelativeModelSize float64
	// PromptParts are the sections of the prompt in order; the last one is specific to the
	// request or its session.
	PromptParts []PromptPart
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the maximum
	// number of output tokens.
	PromptTokens, MaxOutputTokens int
	// Priority is the priority of the request at the server, 0 being the most urgent. It is 0 for all
	// requests of a service whose routes have the same priority.
	Priority int
	// MaxEventGap is the longest pause between two events of a stream that is in time, 0 for no limit.
	MaxEventGap time.Duration
	// Objective is the target time to the first event or response.
	Objective time.Duration
}

// prefixKeys returns a key for each prefix of the prompt. A server reuses a part
// only after the same preceding parts and for the same model and adapter, so the
// key covers them all.
func (w Work) prefixKeys() []uint64 {
	keys := make([]uint64, len(w.PromptParts))
	seed := xxhash.Sum64String(w.Model + "/" + w.Adapter)
	for i, p := range w.PromptParts {
		seed = mixHash(seed ^ xxhash.Sum64String(p.ID))
		keys[i] = seed
	}
	return keys
}

// sharedPrefixKey returns the key of the longest prefix that other requests share, 0
// for none.
func (w Work) sharedPrefixKey(keys []uint64) uint64 {
	if len(keys) < 2 {
		return 0
	}
	return keys[len(keys)-2]
}

func mixHash(h uint64) uint64 {
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>29
}

// rendezvousHash ranks a server for a key. All VMs get the same ranking without
// coordination (Thaler and Ravishankar, 1998).
func rendezvousHash(serverID string, key uint64) uint64 {
	return mixHash(xxhash.Sum64String(serverID) ^ key*0x9e3779b97f4a7c15)
}
