package node

import (
	"context"
	"fmt"
	"time"
)

const (
	// exitReserve is the part of the grace time reserved for the process to exit by itself, and exitShare the share of the
	// grace time that it is at most.
	exitReserve = 400 * time.Millisecond
	exitShare   = 6
	// cutAnswerTime is how long the process waits until the requests that it cuts off are answered, as far as nothing of an
	// answer was sent, and cutLogTime how long it waits for the log lines of the others.
	cutAnswerTime = 100 * time.Millisecond
	cutLogTime    = 100 * time.Millisecond
)

// exitAfter returns how long after SIGTERM a VM with a grace time cuts off what is still under way. That is never before the last
// sixth of the grace time, up to which a sound server is given to end.
func exitAfter(grace time.Duration) time.Duration { return grace - min(exitReserve, grace/exitShare) }

// exitTime returns when this VM exits, and whether it has been told to stop.
func (n *Node) exitTime() (exit time.Time, stopping bool) {
	if at := n.exitsAt.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// toldToStopAt returns when this VM was told to stop, the zero time if it was not.
func (n *Node) toldToStopAt() time.Time {
	if at := n.stoppingSince.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (n *Node) stopping() bool { return n.exitsAt.Load() != nil }

// callerCloseResponse is what a caller gets whose request crosses the close of its unused connection: the request has not run.
const callerCloseResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"

// noticeWithin returns for how long a VM that exits after a time waits for the load balancer: as long as its settings say, half of
// the time at most, so that requests in progress can end and connections close in order.
func noticeWithin(notice, untilExit time.Duration) time.Duration { return min(notice, untilExit/2) }

// awaitNotice waits until the load balancer knows that the VM stops, and closes connections meanwhile on which requests
// would be refused.
func (n *Node) awaitNotice(ctx context.Context, untilExit time.Duration) {
	notice, cancel := context.WithTimeout(ctx, noticeWithin(n.settings().Duration("drain", "notice"), untilExit))
	defer cancel()
	n.callerConns.CloseUnusedUntil(notice, n.now)
}

// Stop shuts the VM down gracefully. It becomes unready immediately, accepts new requests until the
// load balancer has moved the callers, and lets running requests complete within the grace time.
func (n *Node) Stop() error {
	startedAt := n.now()
	exit := startedAt.Add(exitAfter(n.settings().Duration("drain", "grace")))
	n.stoppingSince.Store(&startedAt)
	n.exitsAt.Store(&exit)
	n.log.Info().Dur("exits_in", exit.Sub(startedAt)).Int("in_progress", n.callerConns.Active()).Msg("stopping")
	background := context.Background()
	n.awaitNotice(background, exit.Sub(startedAt))
	n.cancelWaits()
	ctx, cancel := context.WithTimeout(background, exit.Sub(n.now()))
	defer cancel()
	n.callerConns.Drain(ctx, n.now, exit, n.callerListener)
	cut := n.callerConns.Active()
	n.endCalls()
	n.callerConns.AwaitInactive(cutAnswerTime)
	n.gateway.AwaitProxied(ctx)
	n.peerConns.Drain(ctx, n.now, exit, n.peerListener)
	// No background renewal of the lease may follow the final renewal below.
	n.stopBackground()
	n.lease.Extend(background, restartLeaseDuration)
	proxiedCut := n.gateway.Proxied()
	n.Kill()
	// What was cut off still has to be logged.
	n.callerConns.AwaitInactive(cutLogTime)
	n.log.Info().Int("cut", cut).Int("proxied_cut", proxiedCut).Int("closed_early", n.callerConns.CloseResponses()).Dur("took", n.now().Sub(startedAt)).Msg("stopped")
	if cut+proxiedCut > 0 {
		return fmt.Errorf("%d requests of callers and %d of other VMs were cut off", cut, proxiedCut)
	}
	return nil
}
