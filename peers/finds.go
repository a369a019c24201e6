package peers

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// A VM has at most one pending find call per need, shared by all requests that wait for
// it. A relay shares calls in the same way for its VMs. A call stays pending when waiting requests
// resume their own search, and they join it again later.
//
// Without sharing, a crash of servers overloads the controller. Hundreds of requests wait for the
// models and adapters of these servers, each change of any server wakes all of them, and each sends a
// new call through its VM's relay: 7,000 calls per second with 71 VMs. The controller handled nothing
// else, its links exceeded the idle timeout, and for seconds no VM received the load of the others
// while the load was highest.

// findCallTimeout bounds a find call. Requests that wait for longer start a new one.
const findCallTimeout = 5 * time.Second

// findGroup shares pending find calls between callers. The zero value is ready to use.
type findGroup struct {
	mu      sync.Mutex
	pending map[backs.Need]*pendingFind
}

// pendingFind is a find call. server and err may be read once done is closed.
type pendingFind struct {
	done   chan struct{}
	server string
	err    error
}

// find joins the pending find call for key, or starts one with call, and waits for its result until
// ctx ends.
func (g *findGroup) find(ctx context.Context, key backs.Need, call func(context.Context) (string, error)) (string, error) {
	pending := g.joinOrStart(ctx, key, call)
	select {
	case <-ctx.Done():
		return "", fmt.Errorf("wait for a find call: %w", ctx.Err())
	case <-pending.done:
		return pending.server, pending.err
	}
}

func (g *findGroup) joinOrStart(ctx context.Context, key backs.Need, call func(context.Context) (string, error)) *pendingFind {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pending := g.pending[key]; pending != nil {
		return pending
	}
	pending := &pendingFind{done: make(chan struct{})}
	if g.pending == nil {
		g.pending = make(map[backs.Need]*pendingFind)
	}
	g.pending[key] = pending
	// The call continues if the caller that started it leaves, because others may wait for it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), findCallTimeout)
	go func() {
		defer cancel()
		pending.server, pending.err = call(ctx)
		g.mu.Lock()
		delete(g.pending, key)
		g.mu.Unlock()
		close(pending.done)
	}()
	return pending
}
