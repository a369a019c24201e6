package stand

import (
	"slices"
	"sync"
	"time"
)

// TeamRun is one execution of a request as a backend server saw its caller.
type TeamRun struct {
	ID string
	// Team is the team that the gateway named. HasKey is set if the caller's API key was passed on.
	Team   string
	HasKey bool
	At     time.Time
}

// TeamLog records the teams of the requests that backend servers execute. The zero value is ready to
// use. It is safe for concurrent use.
type TeamLog struct {
	mu   sync.Mutex
	runs []TeamRun
}

// Record adds an execution. A nil log records nothing.
func (l *TeamLog) Record(r TeamRun) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// Runs returns the executions in the order in which they were recorded.
func (l *TeamLog) Runs() []TeamRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}
