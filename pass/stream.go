package pass

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// streamBufferBytes is the size of one read from a stream, enough for some events.
const streamBufferBytes = 4 << 10

// forwardStream forwards events as they arrive. Events that are ready at the same time are written
// together.
func (t *try) forwardStream(ctx context.Context, w http.ResponseWriter) bool {
	events := t.newSplitter()
	buffer := make([]byte, streamBufferBytes)
	controller := http.NewResponseController(w)
	eventTimeout := t.eventTimeout()
	var first, last time.Time
	for {
		if events.lastID != t.c.request.Header.Get(headerLastEvent) {
			t.conn.SetStallTimeout(eventTimeout, t.reserveFailover)
		}
		n, err := t.resp.Body.Read(buffer)
		if complete := events.add(buffer[:n]); len(complete) > 0 {
			now := t.g.Now()
			t.ticket.FirstEvent(now)
			t.c.recordEvents(now, last, complete)
			if last = now; first.IsZero() {
				first = now
			}
			if !t.writeEvents(w, controller, complete) {
				t.c.reason = "caller disconnected"
				return true
			}
			t.c.lastEventID = events.lastID
		}
		if err == io.EOF {
			if t.c.sends == 1 {
				t.ticket.StreamCompleted(t.c.eventCount, last.Sub(first))
			}
			return t.finishStream(w, controller, events)
		}
		if err != nil {
			return t.connectionLost(ctx, "read stream: "+err.Error(), err)
		}
	}
}

func (t *try) newSplitter() *eventSplitter {
	s := &eventSplitter{lastID: t.c.lastEventID}
	if t.c.headSent {
		s.skipThrough, _ = strconv.ParseInt(t.c.lastEventID, 10, 64)
	}
	return s
}

// writeEvents writes events to the caller, preceded by the response head if it was not sent.
func (t *try) writeEvents(w http.ResponseWriter, controller *http.ResponseController, data []byte) bool {
	t.writeHead(w)
	if _, err := w.Write(data); err != nil {
		return false
	}
	return controller.Flush() == nil
}

// writeHead writes the response head. A resumed stream keeps the head of its first server.
func (t *try) writeHead(w http.ResponseWriter) {
	if t.c.headSent {
		return
	}
	t.c.headSent = true
	t.c.status = t.resp.StatusCode
	for name, values := range t.responseHeaders() {
		w.Header()[name] = values
	}
	w.WriteHeader(t.resp.StatusCode)
	t.c.timeToFirstEvent = t.g.Now().Sub(t.c.arrived)
	t.g.Meter.RecordDuration("pass.first_event", t.c.timeToFirstEvent)
}

func (t *try) finishStream(w http.ResponseWriter, controller *http.ResponseController, events *eventSplitter) bool {
	t.writeHead(w)
	if len(events.partial) > 0 {
		t.writeEvents(w, controller, events.partial)
	}
	t.conn.SetStallTimeout(0, nil)
	t.complete = true
	t.verdict = pick.Succeeded
	return true
}
