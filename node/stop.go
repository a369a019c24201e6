package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
)

// exitReserve is the part of the grace time reserved for the process to exit by itself.
const exitReserve = 400 * time.Millisecond

// exitTime returns when this VM exits, and whether it has been told to stop.
func (n *Node) exitTime() (exit time.Time, stopping bool) {
	if at := n.exitsAt.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

func (n *Node) stopping() bool { return n.exitsAt.Load() != nil }

// serveCaller serves a caller's request. While the VM stops, each response closes its connection, so
// that the caller moves to another VM.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if n.stopping() {
		w.Header().Set("Connection", "close")
	}
	n.gateway.ServeHTTP(w, r)
}

// Stop shuts the VM down gracefully. It becomes unready immediately, accepts new requests until the
// load balancer has moved the callers, and lets running requests complete within the grace time.
func (n *Node) Stop() error {
	startedAt := n.now()
	exit := startedAt.Add(n.settings().Duration("drain", "grace") - exitReserve)
	n.exitsAt.Store(&exit)
	n.log.Info().Dur("exits_in", exit.Sub(startedAt)).Msg("stopping")
	background := context.Background()
	pause.For(background, n.settings().Duration("drain", "notice"))
	n.cancelWaits()
	ctx, cancel := context.WithTimeout(background, exit.Sub(n.now()))
	defer cancel()
	err := n.callerServer.Shutdown(ctx)
	n.gateway.AwaitProxied(ctx)
	// No background renewal of the lease may follow the final renewal below.
	n.stopBackground()
	n.lease.Extend(background, restartLeaseDuration)
	n.Kill()
	n.log.Info().Err(err).Msg("stopped")
	if err != nil {
		return fmt.Errorf("requests were cut off: %w", err)
	}
	return nil
}
