package peers

import (
	"bytes"
	"sync"
)

// configFrames holds the frame of the configuration that was sent last. Every VM that links gets it first, dozens at once
// after a change of the controller, and requests wait for the lock under which it is enqueued. The zero value is ready to
// use.
type configFrames struct {
	mu       sync.Mutex
	revision int
	value    []byte
	frame    []byte
}

// of returns the frame of a configuration, which the caller does not change.
func (c *configFrames) of(revision int, value []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frame != nil && revision == c.revision && bytes.Equal(value, c.value) {
		return c.frame, nil
	}
	frame, err := configFrame(revision, value)
	if err != nil {
		return nil, err
	}
	c.revision, c.value, c.frame = revision, value, frame
	return frame, nil
}
