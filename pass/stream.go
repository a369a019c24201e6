package pass

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// streamBuffer is one read of a stream: some events at most.
const streamBuffer = 4 << 10

// stream passes events on as they arrive; those that are ready together go out
// in one write.
func (t *try) stream(ctx context.Context, w http.ResponseWriter) bool {
	events := t.splitter()
	buffer := make([]byte, streamBuffer)
	out := http.NewResponseController(w)
	stall := t.stall()
	var first, last time.Time
	for {
		if events.last != t.c.request.Header.Get(headerLastEvent) {
			t.conn.Watch(stall, t.elsewhere)
		}
		n, err := t.resp.Body.Read(buffer)
		if whole := events.take(buffer[:n]); len(whole) > 0 {
			now := t.g.Now()
			t.ticket.First(now)
			t.c.sawEvents(now, last, whole)
			if last = now; first.IsZero() {
				first = now
			}
			if !t.deliver(w, out, whole) {
				t.c.reason = "caller left"
				return true
			}
			t.c.lastEvent = events.last
		}
		if err == io.EOF {
			if t.c.sends == 1 {
				t.ticket.Streamed(t.c.events, last.Sub(first))
			}
			return t.streamEnd(w, out, events)
		}
		if err != nil {
			return t.connectionLost(ctx, "stream broke off: "+err.Error(), err)
		}
	}
}

func (t *try) splitter() *splitter {
	s := &splitter{last: t.c.lastEvent}
	if t.c.started {
		s.after, _ = strconv.ParseInt(t.c.lastEvent, 10, 64)
	}
	return s
}

// deliver writes events to the caller, the head of the answer first.
func (t *try) deliver(w http.ResponseWriter, out *http.ResponseController, data []byte) bool {
	t.begin(w)
	if _, err := w.Write(data); err != nil {
		return false
	}
	return out.Flush() == nil
}

// begin writes the head. A resumed stream keeps that of its first server.
func (t *try) begin(w http.ResponseWriter) {
	if t.c.started {
		return
	}
	t.c.started = true
	t.c.status = t.resp.StatusCode
	for name, values := range t.headers() {
		w.Header()[name] = values
	}
	w.WriteHeader(t.resp.StatusCode)
	t.c.firstEvent = t.g.Now().Sub(t.c.arrived)
	t.g.Meter.RecordDuration("pass.first_event", t.c.firstEvent)
}

func (t *try) streamEnd(w http.ResponseWriter, out *http.ResponseController, events *splitter) bool {
	t.begin(w)
	if len(events.rest) > 0 {
		t.deliver(w, out, events.rest)
	}
	t.conn.Watch(0, nil)
	t.whole = true
	t.verdict = pick.Good
	return true
}
