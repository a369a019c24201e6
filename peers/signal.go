package peers

import "sync"

// signal wakes one waiting goroutine. A signal that is raised while nobody waits is kept, and raising it
// again changes nothing. The zero value is ready to use.
type signal struct {
	once sync.Once
	c    chan struct{}
}

func (s *signal) raised() chan struct{} {
	s.once.Do(func() { s.c = make(chan struct{}, 1) })
	return s.c
}

func (s *signal) raise() {
	select {
	case s.raised() <- struct{}{}:
	default:
	}
}
