package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// confirmWatchWait is the wait of a watch that only confirms the list of servers.
	confirmWatchWait = time.Millisecond
	// confirmTimeout bounds how long the changes that such a watch shows may take to be applied.
	confirmTimeout = 500 * time.Millisecond
)

var (
	errNotFollowing = errors.New("this VM does not follow the servers in the store")
	errListedAnew   = errors.New("the servers are being listed anew")
)

// confirmFromStore makes sure that the view of the servers has every change that the store had made when it was called.
// It asks the store for the changes after those that are applied, which the follower of the servers applies.
func (n *Node) confirmFromStore(ctx context.Context) error {
	asked := n.now()
	from := n.serverPosition.get()
	if from.version == 0 {
		return errNotFollowing
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	changes, _, err := n.config.Objects.Watch(ctx, n.config.ServerKind, from.version, confirmWatchWait)
	if err != nil {
		return fmt.Errorf("confirm the servers: %w", err)
	}
	last := from.version
	for _, c := range changes {
		last = max(last, c.Object.Version)
	}
	if err := n.serverPosition.await(ctx, from, last); err != nil {
		return err
	}
	n.serverView.MarkCurrent(asked)
	return nil
}

// position is how far a kind is followed in the store. The zero value is that of a kind that is not followed.
type position struct {
	mu     sync.Mutex
	now    followed
	change chan struct{}
}

// followed is a state of a position. Changes are applied one after the other between two lists.
type followed struct {
	// version is the version of the store whose changes have been applied, 0 if the kind is not followed.
	version int
	// lists counts how often it was not followed.
	lists int
}

func (p *position) get() followed {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

// set records that the changes up to a version have been applied, or with 0 that the kind is not followed.
func (p *position) set(version int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == p.now.version {
		return
	}
	p.now.version = version
	if version == 0 {
		p.now.lists++
	}
	if p.change != nil {
		close(p.change)
		p.change = nil
	}
}

// await waits until the changes up to a version have been applied, without a list since an earlier state.
func (p *position) await(ctx context.Context, since followed, version int) error {
	for {
		p.mu.Lock()
		state := p.now
		if p.change == nil {
			p.change = make(chan struct{})
		}
		changed := p.change
		p.mu.Unlock()
		if state.lists != since.lists {
			return errListedAnew
		}
		if state.version >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for changes of the servers: %w", ctx.Err())
		case <-changed:
		}
	}
}
