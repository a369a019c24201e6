package httpx

import (
	"context"
	"net"
	"net/http"
)

// Transport makes HTTP calls with net/http, over connections whose failures are not taken for the end of a response. All
// calls of this program that do not go through package conns use it.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the settings of base, which it takes over. Its DialContext opens the connections;
// nil uses TCP with DialTimeout.
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
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.base.RoundTrip(req)
}

// CloseIdleConnections closes the connections without a call in progress. The method of http.Client with the same name
// calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
