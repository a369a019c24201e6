package origin

import (
	"sync"
	"time"
)

const (
	// Retention is how long an origin is kept. Callers take a stream up within the time that they wait for
	// it, at most some tens of seconds.
	Retention = time.Minute
	// maxRecords bounds the origins that a VM keeps, and with maxAttemptBytes the memory that they take. Above
	// it the oldest are dropped.
	maxRecords = 1 << 16
	// MaxAttemptBytes bounds the ID of an attempt whose origin is kept.
	MaxAttemptBytes = 128
)

// Store keeps origins by attempt. The zero value is ready to use. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	records map[string]stored
	// order lists the attempts by the time at which they were put, the oldest at next.
	order []putAttempt
	next  int
}

type stored struct {
	Record
	putAt time.Time
}

type putAttempt struct {
	attempt string
	at      time.Time
}

// Put keeps the origin of an attempt for Retention from now on.
func (s *Store) Put(now time.Time, attempt string, r Record) {
	if attempt == "" || len(attempt) > MaxAttemptBytes || r.Version == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if s.records == nil {
		s.records = make(map[string]stored)
	}
	s.records[attempt] = stored{r, now}
	s.order = append(s.order, putAttempt{attempt, now})
}

// Get returns the origin of an attempt, and whether it is known.
func (s *Store) Get(now time.Time, attempt string) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	r, ok := s.records[attempt]
	return r.Record, ok
}

// Len returns how many origins are kept.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// expire drops the origins that are too old or too many. An attempt that was put again stays in its later
// place. s.mu is held.
func (s *Store) expire(now time.Time) {
	for s.next < len(s.order) {
		oldest := s.order[s.next]
		if now.Sub(oldest.at) < Retention && len(s.order)-s.next <= maxRecords {
			break
		}
		if s.records[oldest.attempt].putAt.Equal(oldest.at) {
			delete(s.records, oldest.attempt)
		}
		s.order[s.next] = putAttempt{}
		s.next++
	}
	if s.next > len(s.order)/2 {
		s.order = append([]putAttempt(nil), s.order[s.next:]...)
		s.next = 0
	}
}
