package stand

import "sync"

// Runs counts how often each marked request was executed by the fakes that share
// it. The zero value is ready for use.
type Runs struct {
	mu   sync.Mutex
	runs map[string]int
}

// Add counts one execution of the request with marker id; "" is not counted.
func (r *Runs) Add(id string) {
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

// Of returns how often the request was executed.
func (r *Runs) Of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// All returns a copy of the counts by request.
func (r *Runs) All() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]int, len(r.runs))
	for id, n := range r.runs {
		all[id] = n
	}
	return all
}
