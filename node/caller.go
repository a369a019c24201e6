package node

import (
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart/httpx"
)

const (
	// headerTimeout and idleTimeout apply to callers' connections. They are longer than the limits
	// in the operators' configuration, which callers respect. Closing a connection earlier could
	// reject a request that is already in transit.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// newCallerServer returns the server for callers.
func newCallerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: httpx.WithConn,
	}
}

// newPeerServer returns the server for other VMs, which send requests of callers through this one.
func newPeerServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: httpx.WithConn}
}
