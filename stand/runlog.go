package stand

import (
	"slices"
	"sync"
	"time"
)

// RunLog records which backends executed which requests. The zero value is ready for use.
type RunLog struct {
	mu   sync.Mutex
	runs map[string][]string
	// firsts and repeats hold when requests were executed for the first time, and when once more.
	firsts, repeats []time.Time
}

// Since returns when requests were executed for the first time since a time, and when once more.
func (l *RunLog) Since(from time.Time) (firsts, repeats []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier := func(t time.Time) bool { return t.Before(from) }
	return slices.DeleteFunc(slices.Clone(l.firsts), earlier), slices.DeleteFunc(slices.Clone(l.repeats), earlier)
}

// Record records an execution of a request by a server.
func (l *RunLog) Record(requestID, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]string)
	}
	if now := time.Now(); len(l.runs[requestID]) == 0 {
		l.firsts = append(l.firsts, now)
	} else {
		l.repeats = append(l.repeats, now)
	}
	l.runs[requestID] = append(l.runs[requestID], server)
}

// Servers returns the servers that executed a request, once for each execution.
func (l *RunLog) Servers(requestID string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[requestID])
}
