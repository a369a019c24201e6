package drain

import (
	"net/http"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

// Handler returns a handler whose responses close their connections while the server stops, so that its callers move to
// another one. It runs no request on a connection that has carried the close response. The server uses httpx.WithConn as its
// ConnContext.
func (c *Conns) Handler(stopping func() bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := httpx.CallerConn(r.Context()); ok && c.hasCloseResponse(conn) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(&closingWriter{ResponseWriter: w, stopping: stopping}, r)
	})
}

// closingWriter writes a response that closes its connection if the server stops.
type closingWriter struct {
	http.ResponseWriter
	stopping    func() bool
	headWritten bool
}

// Unwrap is for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head of the response.
func (w *closingWriter) WriteHeader(status int) {
	w.headWritten = true
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the head.
func (w *closingWriter) Write(data []byte) (int, error) {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}
