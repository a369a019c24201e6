package pass

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events into complete events. A server may stop in
// the middle of an event; only complete events are forwarded, so that another server can resume
// after the last one.
type eventSplitter struct {
	partial []byte
	// lastID is the ID of the last event forwarded to the caller.
	lastID string
	// skipThrough is the highest event ID that the caller already has. Events up to it are dropped.
	skipThrough int64
}

var eventSeparator = []byte("\n\n")

// add appends bytes to the stream and returns the events that are now complete.
func (s *eventSplitter) add(data []byte) []byte {
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, eventSeparator)
	if end < 0 {
		return nil
	}
	end += len(eventSeparator)
	complete := s.dropRepeated(s.partial[:end])
	s.partial = append([]byte(nil), s.partial[end:]...)
	return complete
}

// dropRepeated removes the events that the caller already has and records the last ID.
func (s *eventSplitter) dropRepeated(events []byte) []byte {
	var newEvents []byte
	for len(events) > 0 {
		end := bytes.Index(events, eventSeparator) + len(eventSeparator)
		event := events[:end]
		events = events[end:]
		id, ok := eventID(event)
		if ok && s.skipThrough > 0 && id <= s.skipThrough {
			continue
		}
		if ok {
			s.lastID = strconv.FormatInt(id, 10)
		}
		newEvents = append(newEvents, event...)
	}
	return newEvents
}

// eventID returns the number in the id line of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
