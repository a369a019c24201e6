package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// exitReserve is the part of the grace time reserved for the process to exit by itself.
	exitReserve = 400 * time.Millisecond
	// quietTime is how long no request may have been in progress before kept connections are closed,
	// and drainCheckInterval the interval between looks.
	quietTime          = 200 * time.Millisecond
	drainCheckInterval = 10 * time.Millisecond
	// lastCallTime is how long before the exit kept connections are closed while requests are in progress.
	lastCallTime = 100 * time.Millisecond
	// cutLogTime is how long the process waits for the log lines of the requests that it has cut off.
	cutLogTime = 100 * time.Millisecond
)

// exitTime returns when this VM exits, and whether it has been told to stop.
func (n *Node) exitTime() (exit time.Time, stopping bool) {
	if at := n.exitsAt.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

func (n *Node) stopping() bool { return n.exitsAt.Load() != nil }

// serveCaller serves a caller's request.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.gateway.ServeHTTP(&callerWriter{ResponseWriter: w, stopping: n.stopping}, r)
}

// callerWriter writes a response. While the VM stops, each response closes its connection, so that the caller moves to
// another VM.
type callerWriter struct {
	http.ResponseWriter
	stopping    func() bool
	headWritten bool
}

// Unwrap is for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head of the response.
func (w *callerWriter) WriteHeader(status int) {
	w.headWritten = true
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the head.
func (w *callerWriter) Write(data []byte) (int, error) {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Stop shuts the VM down gracefully. It becomes unready immediately, accepts new requests until the
// load balancer has moved the callers, and lets running requests complete within the grace time.
func (n *Node) Stop() error {
	startedAt := n.now()
	exit := startedAt.Add(n.settings().Duration("drain", "grace") - exitReserve)
	n.exitsAt.Store(&exit)
	n.log.Info().Dur("exits_in", exit.Sub(startedAt)).Int("in_progress", n.callerConns.active()).Msg("stopping")
	background := context.Background()
	pause.For(background, n.settings().Duration("drain", "notice"))
	n.cancelWaits()
	ctx, cancel := context.WithTimeout(background, exit.Sub(n.now()))
	defer cancel()
	n.drain(ctx, exit, &n.callerConns, n.callerListener)
	n.gateway.AwaitProxied(ctx)
	n.drain(ctx, exit, &n.peerConns, n.peerListener)
	// No background renewal of the lease may follow the final renewal below.
	n.stopBackground()
	n.lease.Extend(background, restartLeaseDuration)
	cut, proxiedCut := n.callerConns.active(), n.gateway.Proxied()
	n.Kill()
	// What was cut off still has to be logged.
	for waited := time.Duration(0); n.callerConns.active() > 0 && waited < cutLogTime; waited += drainCheckInterval {
		pause.For(background, drainCheckInterval)
	}
	n.log.Info().Int("cut", cut).Int("proxied_cut", proxiedCut).Dur("took", n.now().Sub(startedAt)).Msg("stopped")
	if cut+proxiedCut > 0 {
		return fmt.Errorf("%d requests of callers and %d of other VMs were cut off", cut, proxiedCut)
	}
	return nil
}

// drain waits until no request is in progress on the connections of a listener, or ctx ends, and closes the listener and
// the connections. http.Server.Shutdown would close kept connections at once, and drop without an answer what has been
// sent on them meanwhile: a caller, or another VM whose request this one is to send, could not tell whether the request has
// run. Here a kept connection takes one more request as long as others are in progress. Links to other VMs stay open.
func (n *Node) drain(ctx context.Context, exit time.Time, open *openConns, l net.Listener) {
	if l != nil {
		_ = l.Close()
	}
	for ctx.Err() == nil {
		now := n.now()
		if open.quiet(now) >= quietTime || exit.Sub(now) <= lastCallTime {
			if open.closeUnused(now) == 0 {
				return
			}
		}
		pause.For(ctx, drainCheckInterval)
	}
}
