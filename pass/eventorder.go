package pass

import (
	"strconv"

	"github.com/rs/zerolog"
)

// sendEvents describes the events that a caller got from one send of its call.
type sendEvents struct {
	server string
	// send is the index of the send among those of the call.
	send int
	// first and last are IDs, 0 if no event had one. count counts the events that were passed on, and dropped those
	// that the caller had already.
	first, last    int64
	count, dropped int
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s sendEvents) MarshalZerologObject(e *zerolog.Event) {
	e.Str("server", s.server).Int("send", s.send).Int64("first_id", s.first).Int64("last_id", s.last).
		Int("count", s.count).Int("dropped", s.dropped)
}

// eventsBySend describes the events of a call, one entry for each send that brought any.
type eventsBySend []sendEvents

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l eventsBySend) MarshalZerologArray(a *zerolog.Array) {
	for _, s := range l {
		a.Object(s)
	}
}

// eventOrder watches whether the IDs of the events that a caller gets go up one after the other.
type eventOrder struct {
	last int64
	// known is set once there is a last ID, resumed until the first event of a send after it.
	known, resumed bool
	// steps counts the IDs that were one above the last, gaps those that were higher, repeats those that were equal,
	// reversals those that were lower. resumeGaps counts the sends whose first ID left some out.
	steps, gaps, repeats, reversals, resumeGaps int
}

// beginSend records that the next event comes from another send, which goes on after an event, "" for none.
func (o *eventOrder) beginSend(lastEventID string) {
	if id, err := strconv.ParseInt(lastEventID, 10, 64); err == nil {
		o.last, o.known = id, true
	}
	o.resumed = o.known
}

// add records the ID of an event that is passed on.
func (o *eventOrder) add(id int64) {
	before, known, resumed := o.last, o.known, o.resumed
	o.last, o.known, o.resumed = id, true, false
	switch {
	case !known:
	case id == before+1:
		o.steps++
	case id == before:
		o.repeats++
	case id < before:
		o.reversals++
	case resumed:
		o.resumeGaps++
	default:
		o.gaps++
	}
}

// broken reports whether the IDs show that the stream was joined wrongly. Where the IDs within the sends are not
// consecutive, a gap before a send proves nothing.
func (o *eventOrder) broken() bool {
	return o.repeats+o.reversals > 0 || o.resumeGaps > 0 && o.gaps == 0 && o.steps > 0
}

// recordOrder counts what the IDs of a call's events showed, and warns if they were joined wrongly.
func (g *Gateway) recordOrder(c *call) {
	o := &c.order
	for name, n := range map[string]int{
		"pass.event_gaps": o.gaps, "pass.event_repeats": o.repeats, "pass.event_reversals": o.reversals, "pass.resumed_after_gap": o.resumeGaps,
	} {
		if n > 0 {
			g.Meter.AddCounter(name, int64(n))
		}
	}
	if o.broken() {
		g.Log.Warn().Str("request", c.id).Str("resumed_after", c.request.Header.Get(headerLastEvent)).Array("events_by_send", c.eventsBySend).
			Int("event_gaps", o.gaps).Int("event_repeats", o.repeats).Int("event_reversals", o.reversals).Int("resumed_after_gap", o.resumeGaps).
			Msg("events out of order")
	}
}
