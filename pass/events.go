package pass

import (
	"bytes"
	"strconv"
)

// splitter cuts a stream of server-sent events at their ends. A server may stop
// in the middle of an event; what it passes on is always whole events, so that
// another server can go on behind the last one.
type splitter struct {
	rest []byte
	// last is the id of the last event passed on, as the caller has it.
	last string
	// after drops events up to this id: those the caller already has.
	after int64
}

var eventEnd = []byte("\n\n")

// take adds bytes and returns the whole events among what there is now.
func (s *splitter) take(data []byte) []byte {
	s.rest = append(s.rest, data...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := s.fresh(s.rest[:end])
	s.rest = append([]byte(nil), s.rest[end:]...)
	return whole
}

// fresh drops the events that the caller already has and notes the last id.
func (s *splitter) fresh(events []byte) []byte {
	var out []byte
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		event := events[:end]
		events = events[end:]
		id, ok := eventID(event)
		if ok && s.after > 0 && id <= s.after {
			continue
		}
		if ok {
			s.last = strconv.FormatInt(id, 10)
		}
		out = append(out, event...)
	}
	return out
}

// eventID returns the number in an event's id line.
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
