package pass

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// streamBufferBytes is the size of one read from a stream, enough for some events.
const streamBufferBytes = 4 << 10

// eventReader reads the whole events of a stream.
type eventReader struct {
	attempt  *attempt
	splitter *eventSplitter
	buffer   []byte
	// events are those that were read last, at readAt, and err is the error that followed them.
	events []byte
	readAt time.Time
	err    error
	// begun is set once an event was read.
	begun bool
}

func (a *attempt) newEventReader() *eventReader {
	splitter := &eventSplitter{lastID: a.c.lastEventID}
	if a.c.headSent {
		if id, err := strconv.ParseInt(a.c.lastEventID, 10, 64); err == nil {
			splitter.skipBelow = id + 1
		}
	}
	return &eventReader{attempt: a, splitter: splitter, buffer: make([]byte, streamBufferBytes)}
}

// read reads until events are whole or the stream ends. Events that are ready at the same time are read together.
func (r *eventReader) read(ctx context.Context) {
	a := r.attempt
	for r.events = nil; len(r.events) == 0 && r.err == nil; {
		if a.c.headSent {
			a.limitSilence(ctx, a.eventTimeout(r.splitter.lastID))
		}
		var n int
		if n, r.err = a.resp.Body.Read(r.buffer); a.successor != nil {
			// The other server began before what was read here, and sends it itself.
			r.err = errServerLeft
			return
		}
		r.events = r.splitter.add(r.buffer[:n])
		a.c.partialEventBytes = len(r.splitter.partial)
		if r.splitter.tooLong {
			r.err = errEventTooLong
			a.recordEndless(r.err)
		}
	}
	if len(r.events) == 0 {
		return
	}
	a.dropHedge()
	r.begun, r.readAt = true, a.g.Now()
	a.g.Paths.Heard(r.readAt)
	a.balancerAttempt.FirstEvent(r.readAt)
}

// readFirstEvents reads the first events of a stream. It reports whether they, or the end of a stream that has none
// left, can be forwarded.
func (a *attempt) readFirstEvents(ctx context.Context) bool {
	a.events = a.newEventReader()
	a.events.read(ctx)
	switch {
	case len(a.events.events) > 0:
		return true
	case errors.Is(a.events.err, io.EOF):
		return a.checkStreamEnd(ctx)
	}
	return a.readFailed(ctx, "read stream: "+a.events.err.Error(), a.events.err)
}

// forwardStream forwards events as they arrive.
func (a *attempt) forwardStream(ctx context.Context, w http.ResponseWriter) bool {
	controller := http.NewResponseController(w)
	var first, last time.Time
	a.c.beginEvents(a)
	for r := a.events; ; r.read(ctx) {
		if len(r.events) > 0 {
			now := r.readAt
			a.c.recordEvents(now, last, r)
			if !a.survived && !first.IsZero() && now.Sub(first) >= survivalTime {
				a.survived = true
				a.g.PartTracker.Survived(now, a.c.sharedParts())
			}
			if last = now; first.IsZero() {
				first = now
			}
			if !a.writeEvents(w, controller, r.events) {
				a.g.recordWriteFailed(a.c)
				return true
			}
			a.c.lastEventID, a.c.unnumbered = r.splitter.lastID, r.splitter.unnumbered
		}
		switch {
		case errors.Is(r.err, io.EOF):
			done := a.checkStreamEnd(ctx) && a.endStream(w)
			if done && a.c.sends == 1 {
				a.balancerAttempt.StreamCompleted(a.c.eventCount, last.Sub(first))
				a.balancerAttempt.LongestPause(a.c.maxEventGap)
			}
			return done
		case r.err != nil:
			return a.readFailed(ctx, "read stream: "+r.err.Error(), r.err)
		}
	}
}

// writeEvents writes events to the caller, preceded by the response head if it was not sent.
func (a *attempt) writeEvents(w http.ResponseWriter, controller *http.ResponseController, data []byte) bool {
	a.writeHead(w)
	a.g.tellOrigin(a.g.Now(), a.c)
	if _, err := w.Write(data); err != nil {
		return false
	}
	return controller.Flush() == nil
}

// writeHead writes the response head. A resumed stream keeps the head of its first server.
func (a *attempt) writeHead(w http.ResponseWriter) {
	if a.c.headSent {
		return
	}
	a.c.headSent = true
	if !a.c.binding.begun {
		a.c.binding = bindingAt(a.choice.Server)
	}
	a.c.status = a.resp.StatusCode
	for name, values := range a.responseHeaders() {
		w.Header()[name] = values
	}
	if a.c.callerFraming(httpx.FramingOf(a.resp)) == httpx.FramedByClose {
		a.c.endByClose(w.Header())
	}
	w.WriteHeader(a.resp.StatusCode)
	a.c.timeToFirstEvent = a.g.Now().Sub(a.c.arrived)
	a.g.Meter.RecordDuration("pass.first_event", a.c.timeToFirstEvent)
}
