package pass

import (
	"context"
	"io"
	"net/http"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// A server may mark the end of its response by closing the connection alone. Whether the response is whole
// is then for its caller to judge, so it is passed on in the same way: the gateway adds neither a length nor
// a last chunk, as both state that nothing is missing.

// endByClose makes the response to a call end with the caller's connection. Until completeByClose, any close
// resets that connection: the end of this process, too, would otherwise look like the end of the response.
func (c *call) endByClose(header http.Header) {
	c.endsByClose = true
	header.Set(headerTransferEncoding, encodingIdentity)
	c.setResetOnClose(true)
}

// completeByClose ends a response that was begun with endByClose; all of it has been written.
func (c *call) completeByClose() {
	if c.endsByClose {
		c.setResetOnClose(false)
	}
}

// The net/http server writes neither a length nor chunks if the handler sets this transfer encoding, and
// closes the connection after the response.
const (
	headerTransferEncoding = "Transfer-Encoding"
	encodingIdentity       = "identity"
)

// setResetOnClose selects whether the caller's connection is reset when it is closed.
func (c *call) setResetOnClose(reset bool) {
	conn, ok := c.request.Context().Value(callerConnKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	// An error means that the connection is closed, so that the caller gets nothing more in any case.
	_ = conn.SetLinger(seconds)
}

// callerFraming returns how the response to a call marks its end if that of the server has the given framing
// and is passed on as it arrives.
func (c *call) callerFraming(server httpx.Framing) httpx.Framing {
	if server == httpx.FramedByClose || !c.request.ProtoAtLeast(1, 1) {
		return httpx.FramedByClose
	}
	return httpx.FramedByChunks
}

// endStream decides what the end of a server's stream means, and ends the caller's stream if it is complete.
// gotEvents reports whether the attempt has brought any.
func (a *attempt) endStream(ctx context.Context, w http.ResponseWriter, gotEvents bool) bool {
	byClose := a.c.framing == httpx.FramedByClose
	switch {
	case a.c.partialEventBytes > 0:
		return a.connectionLost(ctx, "read stream: ended inside an event", io.ErrUnexpectedEOF)
	case byClose && !gotEvents:
		return a.connectionLost(ctx, "read stream: connection closed before an event", io.ErrUnexpectedEOF)
	case byClose && a.c.headSent && !a.c.endsByClose:
		// An earlier server's framing is the caller's, whose last chunk would state that the stream is
		// complete. Another server can tell, as it continues after the last event.
		a.result = pick.Succeeded
		a.c.mayHaveRun = true
		return a.fail("read stream: connection closed after an event, in place of a last chunk")
	}
	a.writeHead(w)
	a.c.completeByClose()
	a.conn.SetStallTimeout(0, nil)
	a.complete = true
	a.result = pick.Succeeded
	return true
}
