package httpx

import "net/http"

// WithoutKeptConns returns a copy of a client that opens a connection for each call, if its transport is one of this
// package or of net/http.
func WithoutKeptConns(client *http.Client) *http.Client {
	single := *client
	switch base := client.Transport.(type) {
	case nil:
		single.Transport = NewTransport(singleUse(&http.Transport{}))
	case *http.Transport:
		single.Transport = singleUse(base)
	case *Transport:
		single.Transport = &Transport{base: singleUse(base.base)}
	}
	return &single
}

// singleUse returns a copy of a transport that opens a connection for each call.
func singleUse(base *http.Transport) *http.Transport {
	single := base.Clone()
	single.DisableKeepAlives = true
	return single
}
