package stand

import "sync"

// RunCounter counts how often each marked request was executed by the stand-ins that share
// it. The zero value is ready for use.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// Add counts one execution of the request with marker id; "" is not counted.
func (r *RunCounter) Add(id string) {
	if id == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[string]int)
	}
	r.runs[id]++
}

// Count returns how often the request was executed.
func (r *RunCounter) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Counts returns a copy of the counts by request.
func (r *RunCounter) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]int, len(r.runs))
	for id, n := range r.runs {
		all[id] = n
	}
	return all
}
