package pass

import (
	"context"
	"io"
	"net/http"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// A server may mark the end of its response by closing the connection alone. Whether the response is whole
// is then for its caller to judge, so it is passed on in the same way.

// endByClose makes the response to a call end with the caller's connection.
func (c *call) endByClose(header http.Header) {
	c.endsByClose = true
	httpx.BeginByClose(c.request.Context(), header)
}

// completeByClose ends a response that was begun with endByClose.
func (c *call) completeByClose(w http.ResponseWriter) error {
	if !c.endsByClose {
		return nil
	}
	return httpx.CompleteByClose(c.request.Context(), w)
}

// callerFraming returns how the response to a call marks its end if that of the server has the given framing
// and is passed on as it arrives.
func (c *call) callerFraming(server httpx.Framing) httpx.Framing {
	if server == httpx.FramedByClose || !c.request.ProtoAtLeast(1, 1) {
		return httpx.FramedByClose
	}
	return httpx.FramedByChunks
}

// checkStreamEnd decides what the end of a server's stream means. It reports whether the stream is complete.
func (a *attempt) checkStreamEnd(ctx context.Context) bool {
	byClose := httpx.FramingOf(a.resp) == httpx.FramedByClose
	switch {
	case len(a.events.splitter.partial) > 0:
		return a.connectionLost(ctx, "read stream: ended inside an event", io.ErrUnexpectedEOF)
	case byClose && !a.events.begun:
		return a.connectionLost(ctx, "read stream: connection closed before an event", io.ErrUnexpectedEOF)
	case byClose && a.c.headSent && !a.c.endsByClose:
		// An earlier server's framing is the caller's, whose last chunk would state that the stream is
		// complete. Another server can tell, as it continues after the last event.
		a.result = pick.Succeeded
		a.c.mayHaveRun = true
		return a.fail("read stream: connection closed after an event, in place of a last chunk")
	}
	a.dropHedge()
	a.conn.SetStallTimeout(0, nil)
	a.complete = true
	a.result = pick.Succeeded
	return true
}

// endStream ends the caller's stream, which is complete.
func (a *attempt) endStream(w http.ResponseWriter) bool {
	a.writeHead(w)
	if err := a.c.completeByClose(w); err != nil {
		a.c.reason = "caller disconnected"
	}
	return true
}
