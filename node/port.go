package node

import (
	"context"
	"net/http"

	"github.com/hibiscuscart/hibiscuscart/drain"
	"github.com/hibiscuscart/hibiscuscart/guard"
	"github.com/hibiscuscart/hibiscuscart/pass"
)

const (
	// requestMemoryShare is the share of the VM's memory that requests may take at the same time. On small VMs it is
	// spareMemoryShare of what the process itself, ownMemoryBytes, leaves.
	requestMemoryShare = 0.5
	spareMemoryShare   = 0.6
	ownMemoryBytes     = 32 << 20
	// minConnMemoryShare is the share that connections may take however much long bodies do.
	minConnMemoryShare = 0.125
	// checkHeadBytes bounds the heads of readiness checks and of requests for metrics.
	checkHeadBytes = 16 << 10
)

// callerRefusal is the response on a connection of a caller or a check that there is no room for.
const callerRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// port is a port of this VM.
type port struct {
	// key is the key of its address in the settings.
	key    string
	server *http.Server
	limits guard.Port
	// drained is where its listener is kept that a stop drains, nil for none.
	drained **drain.Listener
}

// ports returns the ports of this VM.
func (n *Node) ports() []port {
	descriptors := guard.Descriptors(n.settings().Int("limits", "descriptors"))
	limits := func(name string, share float64, headLimit func() int, givesWay, refusal string) guard.Port {
		maxConns := guard.MaxConns(descriptors, share)
		return guard.Port{
			Name: name, MaxConns: maxConns, UnreadBytes: guard.UnreadBytes(n.memoryBytes(1), maxConns),
			HeadLimit: headLimit, CountedBodyBytes: pass.SmallBodyBytes, GivesWay: givesWay, Refusal: refusal,
		}
	}
	checkLimit := func() int { return checkHeadBytes }
	return []port{
		{"listen", n.callerServer, limits("callers", guard.CallerShare, n.headLimit, callerCloseResponse, callerRefusal), &n.callerListener},
		{"ready_listen", newCheckServer(http.HandlerFunc(n.serveReadiness)), limits("readiness", guard.CheckShare, checkLimit, callerCloseResponse, callerRefusal), nil},
		{"peer_listen", n.peerServer, limits("vms", guard.PeerShare, n.peerHeadLimit, pass.StoppingRefusal, pass.StoppingRefusal), &n.peerListener},
		{"metrics_listen", newCheckServer(http.HandlerFunc(n.meter.ServeText)), limits("metrics", guard.CheckShare, checkLimit, callerCloseResponse, callerRefusal), nil},
	}
}

// newGuard returns the bounds of what all clients hold together.
func (n *Node) newGuard() *guard.Guard {
	return &guard.Guard{
		Memory:    n.connMemory,
		MaxUnread: n.settings().Duration("limits", "unread"),
		Awaited:   n.responses.Awaited,
		Meter:     n.meter, Log: n.log,
	}
}

func (n *Node) runGuard(ctx context.Context) { n.guard.Run(ctx, n.now) }

// requestMemory returns how many bytes requests may take at the same time, in connections and long bodies.
func (n *Node) requestMemory() int64 {
	spare := int64(spareMemoryShare * float64(n.memoryBytes(1)-ownMemoryBytes))
	return min(n.memoryBytes(requestMemoryShare), spare)
}

// connMemory returns how many of these connections may take: what long bodies leave, within shares of the VM's memory.
func (n *Node) connMemory() int64 {
	left := n.requestMemory() - n.gateway.RequestBytes()
	return min(n.memoryBytes(guard.MemoryShare), max(n.memoryBytes(minConnMemoryShare), left))
}

// bodyMemory returns how many of these long bodies may take: what connections leave.
func (n *Node) bodyMemory() int64 {
	// 0 would be no bound.
	return max(1, n.requestMemory()-n.guard.Held())
}

// headLimit returns how long the head of a caller's request may be: as the configuration says, with some room for what it
// may count otherwise, or as long as this VM takes if it says nothing.
func (n *Node) headLimit() int {
	if table := n.table.Load(); table != nil && table.Limits().MaxHeaderBytes > 0 {
		return min(table.Limits().MaxHeaderBytes+headSlackBytes, maxHeaderBytes)
	}
	return maxHeaderBytes
}

func (n *Node) peerHeadLimit() int { return n.headLimit() + proxyHeaderBytes }
