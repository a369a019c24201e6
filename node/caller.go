package node

import (
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes apply to callers' connections. They are above the limits
	// in the operators' configuration, which callers respect, or checkLimits logs that they are not. Closing a
	// connection earlier could reject a request that is already in transit.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 1 << 20
	// proxyHeaderBytes is the room for the headers that a VM adds to a request which it sends through another one.
	proxyHeaderBytes = 16 << 10
	// headSlackBytes is how much longer a head may be than the configuration says, which may count the request line apart.
	headSlackBytes = 4 << 10
)

// newCallerServer returns the server for callers.
func newCallerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: httpx.WithConn,
	}
}

// newPeerServer returns the server for other VMs, which send requests of callers through this one.
func newPeerServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes + proxyHeaderBytes, ConnContext: httpx.WithConn}
}

// newCheckServer returns the server for readiness checks or metrics.
func newCheckServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// checkLimits logs if a configuration allows callers more than this VM does.
func (n *Node) checkLimits(l routes.Limits) {
	if l.HeaderTimeout <= headerTimeout && l.IdleTimeout <= idleTimeout && l.MaxHeaderBytes <= maxHeaderBytes {
		return
	}
	n.log.Warn().Dur("header_timeout", l.HeaderTimeout).Dur("idle_timeout", l.IdleTimeout).Int("header_bytes", l.MaxHeaderBytes).
		Msg("configuration allows callers more than this VM")
}
