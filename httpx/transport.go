package httpx

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport makes HTTP calls with net/http. It takes no failure of a connection for the end of a response, and no response
// whose head or trailer is malformed. All calls of this program that do not go through package conns use it.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the settings of base, which it takes over. Its DialContext opens the connections, those
// of TLS too; nil uses TCP with DialTimeout. A head is bounded by MaxHeadBytes where base sets no bound, a TLS handshake by
// its TLSHandshakeTimeout, 10 s if it sets none.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = defaultDialer.DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
	// The transport's own TLS would hide the heads from the trackedConn.
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured, err := handshakeTLS(ctx, base, conn, address)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return &trackedConn{Conn: secured}, nil
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = MaxHeadBytes
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: expectHead})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols && req.Header.Get("Upgrade") == "" {
		_ = resp.Body.Close()
		return nil, ErrNotUpgraded
	}
	CheckTrailer(resp)
	return resp, nil
}

// expectHead is called before a request is written to a connection, on which nothing else is in progress.
func expectHead(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*trackedConn); ok {
		conn.expectHead()
	}
}

// CloseIdleConnections closes the connections without a call in progress. The method of http.Client with the same name
// calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
