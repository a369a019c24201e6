package httpx

import (
	"context"
	"net"
	"net/http"
)

type callerConnKey struct{}

// WithConn returns a context that holds a caller's connection. It is used as the ConnContext of an
// HTTP server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// CallerConn returns the connection that WithConn put into the context of a request.
func CallerConn(ctx context.Context) (net.Conn, bool) {
	c, ok := ctx.Value(callerConnKey{}).(net.Conn)
	return c, ok
}

// The net/http server writes neither a length nor chunks if the handler sets this transfer encoding, and
// closes the connection after the response.
const (
	headerTransferEncoding = "Transfer-Encoding"
	encodingIdentity       = "identity"
)

// BeginByClose makes a response end with its caller's connection, before its head is written. Only so is
// a response passed on whose server has stated nothing about its length: a length or a last chunk would
// state that nothing is missing.
//
// Until CompleteByClose, any close resets the connection: the end of this process, too, would otherwise
// look like the end of the response.
func BeginByClose(ctx context.Context, header http.Header) {
	header.Set(headerTransferEncoding, encodingIdentity)
	setResetOnClose(ctx, true)
}

// CompleteByClose sends what was written of a response that was begun with BeginByClose, and lets its
// connection close in order.
func CompleteByClose(ctx context.Context, w http.ResponseWriter) error {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	setResetOnClose(ctx, false)
	return nil
}

// lingerDefault sends what was written before a connection is closed, and lingerReset discards it and
// resets the connection.
const (
	lingerDefault = -1
	lingerReset   = 0
)

func setResetOnClose(ctx context.Context, reset bool) {
	conn, _ := CallerConn(ctx)
	tcp, ok := conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	linger := lingerDefault
	if reset {
		linger = lingerReset
	}
	// An error means that the connection is closed, so that the caller gets nothing more in any case.
	_ = tcp.SetLinger(linger)
}
