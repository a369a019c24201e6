package pass

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// streamBufferBytes is the size of one read from a stream, enough for some events.
const streamBufferBytes = 4 << 10

// forwardStream forwards events as they arrive. Events that are ready at the same time are written
// together.
func (a *attempt) forwardStream(ctx context.Context, w http.ResponseWriter) bool {
	splitter := a.newSplitter()
	buffer := make([]byte, streamBufferBytes)
	controller := http.NewResponseController(w)
	var first, last time.Time
	for {
		if a.c.headSent {
			a.limitSilence(a.eventTimeout(splitter.lastID))
		}
		n, err := a.resp.Body.Read(buffer)
		if complete := splitter.add(buffer[:n]); len(complete) > 0 {
			now := a.g.Now()
			a.g.Paths.Heard(now)
			a.balancerAttempt.FirstEvent(now)
			a.c.recordEvents(now, last, complete)
			if !a.survived && !first.IsZero() && now.Sub(first) >= survivalTime {
				a.survived = true
				a.g.PartTracker.Survived(now, a.c.sharedParts())
			}
			if last = now; first.IsZero() {
				first = now
			}
			if !a.writeEvents(w, controller, complete) {
				a.c.reason = "caller disconnected"
				return true
			}
			a.c.lastEventID = splitter.lastID
		}
		a.c.partialEventBytes = len(splitter.partial)
		if err == io.EOF {
			done := a.endStream(ctx, w, !first.IsZero())
			if done && a.c.sends == 1 {
				a.balancerAttempt.StreamCompleted(a.c.eventCount, last.Sub(first))
			}
			return done
		}
		if err != nil {
			return a.connectionLost(ctx, "read stream: "+err.Error(), err)
		}
	}
}

func (a *attempt) newSplitter() *eventSplitter {
	s := &eventSplitter{lastID: a.c.lastEventID}
	if a.c.headSent {
		s.skipThrough, _ = strconv.ParseInt(a.c.lastEventID, 10, 64)
	}
	return s
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
	if a.c.callerFraming(a.c.framing) == httpx.FramedByClose {
		a.c.endByClose(w.Header())
	}
	w.WriteHeader(a.resp.StatusCode)
	a.c.timeToFirstEvent = a.g.Now().Sub(a.c.arrived)
	a.g.Meter.RecordDuration("pass.first_event", a.c.timeToFirstEvent)
}
