package pass

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events into complete events. A server may stop in
// the middle of an event; only complete events are forwarded, so that another server can resume
// after the last one.
type eventSplitter struct {
	// partial is the beginning of an event, searched for its end up to the last byte.
	partial []byte
	// tooLong is set once an event was longer than maxEventBytes. Events before it are whole.
	tooLong bool
	// lastID is the ID of the last event forwarded to the caller.
	lastID string
	// skipBelow is one above the highest event ID that the caller already has, 0 if it has none. Events with lower IDs
	// are dropped, and with them those without an ID that come before the last event that the caller has.
	skipBelow int64
	// before is set after an event that was dropped, until the last one that the caller has.
	before bool
	// unnumbered is set if the last event with data that add returned has no number as its ID, so that no server can go
	// on after it.
	unnumbered bool
	// count is how many events add returned last, and ids are the IDs of those that have one. dropped counts the events
	// that it has left out.
	ids            []int64
	count, dropped int
}

// maxEventBytes bounds one event of a stream. Sound servers send some hundred bytes, and an event is kept until it is
// whole.
const maxEventBytes = 256 << 10

// maxSeparatorBytes is the length of the longest end of an event: the end of its last line, and an empty line. Lines end
// with LF or CR LF.
const maxSeparatorBytes = len("\n\r\n")

// eventEnd returns where the first event of data ends, -1 if it does not. Its end is at or after from.
func eventEnd(data []byte, from int) int {
	for {
		next := bytes.IndexByte(data[from:], '\n')
		if next < 0 {
			return -1
		}
		from += next + 1
		switch rest := data[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + len("\r\n")
		}
	}
}

// add appends bytes to the stream and returns the events that are now complete. It takes time in proportion to these
// bytes and the events, whatever the length of the event that they belong to. After an event that is too long it
// returns none.
func (s *eventSplitter) add(data []byte) []byte {
	if s.tooLong {
		return nil
	}
	// The separator may have begun with the last byte that was there.
	searched := max(len(s.partial)-maxSeparatorBytes+1, 0)
	s.partial = append(s.partial, data...)
	var end int
	for {
		next := eventEnd(s.partial, max(searched, end))
		if next < 0 {
			break
		}
		if s.tooLong = next-end > maxEventBytes; s.tooLong {
			break
		}
		end = next
	}
	s.tooLong = s.tooLong || len(s.partial)-end > maxEventBytes
	if end == 0 {
		return nil
	}
	complete := s.dropRepeated(s.partial[:end])
	s.partial = append([]byte(nil), s.partial[end:]...)
	return complete
}

// dropRepeated removes the events that the caller already has and records the last ID.
func (s *eventSplitter) dropRepeated(events []byte) []byte {
	var newEvents []byte
	s.ids, s.count = s.ids[:0], 0
	for len(events) > 0 {
		end := eventEnd(events, 0)
		event := events[:end]
		events = events[end:]
		id, ok := eventID(event)
		if ok && s.skipBelow > 0 {
			s.before = id < s.skipBelow-1
		}
		if ok && s.skipBelow > 0 && id < s.skipBelow || s.before {
			s.dropped++
			continue
		}
		switch {
		case ok:
			s.lastID, s.unnumbered = strconv.FormatInt(id, 10), false
			s.ids = append(s.ids, id)
		case hasData(event):
			s.unnumbered = true
		}
		s.count++
		newEvents = append(newEvents, event...)
	}
	return newEvents
}

// hasData reports whether an event has data. One without is a comment or the like, and its loss or repetition changes
// nothing.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data:")) || bytes.Equal(bytes.TrimRight(line, "\r\n"), []byte("data")) {
			return true
		}
	}
	return false
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
