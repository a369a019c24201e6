package httpx

import "net/http"

// WithoutKeptConns returns a copy of a client that opens a connection for each call, if its transport is one of
// net/http.
func WithoutKeptConns(client *http.Client) *http.Client {
	base := client.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	transport, ok := base.(*http.Transport)
	if !ok {
		return client
	}
	single := *client
	transport = transport.Clone()
	transport.DisableKeepAlives = true
	single.Transport = transport
	return &single
}
