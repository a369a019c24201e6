package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// pathProbeTimeout bounds the connection of a probe, and pathProbeWait the wait for the first byte of
	// its response. A server that accepts the connection and is silent for longer is busy, not unreachable.
	pathProbeTimeout = 250 * time.Millisecond
	pathProbeWait    = 100 * time.Millisecond
	// pathProbeInterval is the interval between probes while the path is lost.
	pathProbeInterval = 400 * time.Millisecond
)

// watchPath probes servers while this VM's path to them is suspected or lost.
func (n *Node) watchPath(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pathSuspected:
		}
		for ctx.Err() == nil && n.probePath(ctx) {
			if n.paths.Lost() {
				pause.For(ctx, pathProbeInterval)
			}
		}
	}
}

// suspectPath makes watchPath probe.
func (n *Node) suspectPath() {
	select {
	case n.pathSuspected <- struct{}{}:
	default:
	}
}

// probePath probes the servers that are due, and reports whether there were any.
func (n *Node) probePath(ctx context.Context) bool {
	due := n.paths.Probes(n.probeCandidates(n.now()))
	var wait sync.WaitGroup
	for _, e := range due {
		wait.Go(func() { n.probeByPath(ctx, e) })
	}
	wait.Wait()
	return len(due) > 0
}

// probeCandidates returns the servers that may be sent a probe.
func (n *Node) probeCandidates(now time.Time) []backs.Entry {
	var candidates []backs.Entry
	for _, e := range n.serverView.All(now) {
		if n.serverView.MaySend(now, e.ID) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// probeByPath probes one server. The connection counts, and that it is not broken as soon as it is used: the
// health check itself waits for a slot like any other request.
func (n *Node) probeByPath(ctx context.Context, e backs.Entry) {
	conn, err := n.connPool.DialWithin(ctx, pathProbeTimeout, e.ID, e.Address)
	if err != nil {
		n.paths.ConnectionFailed(n.now(), e.ID, errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	path := n.healthPath(e.Service)
	if path == "" {
		n.paths.ConnectionWorked(n.now())
		n.connPool.Put(n.now(), conn, 0)
		return
	}
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", path, e.Address, n.config.HeaderNames.ExpectServer, e.PlatformName())
	exchange, err := conn.Send(http.MethodGet, []byte(head), nil)
	if err != nil {
		n.connPool.Discard(conn)
		n.paths.ConnectionFailed(n.now(), e.ID, false)
		return
	}
	silent := false
	conn.SetStallTimeout(pathProbeWait, func(time.Duration) bool { silent = true; return true })
	resp, err := exchange.ReadResponse()
	conn.SetStallTimeout(0, nil)
	endless := errors.Is(err, conns.ErrEndless)
	if endless {
		// The path is there, whatever the server sends over it.
		n.meter.AddCounter("pass.endless_responses", 1)
		n.log.Warn().Str("server", e.ID).Err(err).Msg("server sends a response without an end")
	}
	answered := endless || errors.Is(err, httpx.ErrMalformed)
	if err != nil && !silent && !answered {
		n.connPool.Discard(conn)
		n.paths.ConnectionFailed(n.now(), e.ID, false)
		return
	}
	n.paths.ConnectionWorked(n.now())
	// The answer names no request: a second copy of it could be taken for that to a request on the connection.
	n.connPool.Discard(conn)
	if err != nil {
		return
	}
	if err := resp.Body.Close(); err != nil {
		n.log.Debug().Err(err).Str("server", e.ID).Msg("body of a path probe")
	}
}

// healthPath returns the path of a service's health check, or "" if it has none.
func (n *Node) healthPath(service string) string {
	table := n.table.Load()
	if table == nil {
		return ""
	}
	s, _ := table.Service(service)
	return s.HealthPath
}

// pathChanged logs that the path to the servers was lost or is back.
func (n *Node) pathChanged(lost bool) {
	n.meter.AddCounter("path.changes", 1)
	n.peers.PathChanged()
	if lost {
		n.log.Warn().Msg("path to the backend servers lost")
		return
	}
	n.log.Info().Msg("path to the backend servers is back")
}
