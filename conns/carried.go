package conns

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// All sends of an attempt bear the same ID, and a faulty server may give a response a second time, late. On a connection
// that has carried an attempt, such a copy can not be told from the response to the next send of that attempt.

// maxCarried bounds the attempts that a connection remembers.
const maxCarried = 256

// carried are the attempts that a connection has carried and that may be sent again. The zero value is ready to use.
type carried struct {
	attempts []carriedAttempt
	// full is set once an attempt found no room.
	full bool
}

// carriedAttempt is an attempt by the hash of its ID, which a caller may make long. until is when it is sent no more.
type carriedAttempt struct {
	hash  uint64
	until time.Time
}

// add remembers an attempt, and forgets those that are sent no more.
func (s *carried) add(now time.Time, attempt string, until time.Time) {
	kept := s.attempts[:0]
	for _, a := range s.attempts {
		if now.Before(a.until) {
			kept = append(kept, a)
		}
	}
	s.attempts = kept
	if len(s.attempts) == maxCarried {
		s.full = true
		return
	}
	s.attempts = append(s.attempts, carriedAttempt{hash: xxhash.Sum64String(attempt), until: until})
}

func (s *carried) has(now time.Time, attempt string) bool {
	if len(s.attempts) == 0 {
		return false
	}
	hash := xxhash.Sum64String(attempt)
	for _, a := range s.attempts {
		if a.hash == hash && now.Before(a.until) {
			return true
		}
	}
	return false
}

// MarkCarried records that the connection has carried an attempt that may be sent again until a time.
func (c *Conn) MarkCarried(now time.Time, attempt string, until time.Time) {
	c.carried.add(now, attempt, until)
}

// Ambiguous reports whether a response that names an attempt may be one to an earlier request on the connection. A
// response that names none, attempt "", may be one to any request before.
func (c *Conn) Ambiguous(now time.Time, attempt string) bool {
	if attempt == "" {
		return c.proven
	}
	return c.carried.has(now, attempt)
}
