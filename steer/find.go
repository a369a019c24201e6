package steer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// findPollInterval is the longest wait between two checks for a ready server.
	findPollInterval = 20 * time.Millisecond
	// findDebounce is how long a search waits after a server change to cover further changes in
	// one check: while servers crash there are a hundred changes a second and hundreds of
	// searches. Loading an adapter takes as long.
	findDebounce = 10 * time.Millisecond
)

var errUnknownModel = errors.New("the service has no such model")

// Find returns a server that meets a need. It orders what is missing to be loaded, and waits until a
// server is ready or ctx ends.
func (c *Controller) Find(ctx context.Context, need backs.Need) (string, error) {
	table := c.Table()
	if table == nil {
		return "", errUnknownModel
	}
	s, ok := table.Service(need.Service)
	if !ok || s.Engine == nil {
		return "", errUnknownModel
	}
	if _, known := s.Engine.Models[need.Model]; !known {
		return "", errUnknownModel
	}
	return c.sharedFind(ctx, s, need)
}

// pendingFind is a search whose result several callers wait for.
type pendingFind struct {
	done chan struct{}
	id   string
	err  error
}

// findTimeout bounds one search. Callers that still wait start another.
const findTimeout = 5 * time.Second

// sharedFind runs one search for all callers that ask for the same: after a
// shift of demand hundreds of requests wait for one model, and each would scan all servers
// whenever one of them changes.
func (c *Controller) sharedFind(ctx context.Context, s routes.Service, need backs.Need) (string, error) {
	c.mu.Lock()
	if c.pendingFinds == nil {
		c.pendingFinds = make(map[backs.Need]*pendingFind)
	}
	f := c.pendingFinds[need]
	if f == nil {
		f = &pendingFind{done: make(chan struct{})}
		c.pendingFinds[need] = f
		go c.runFind(s, need, f)
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return "", fmt.Errorf("no ready server: %w", ctx.Err())
	case <-f.done:
		return f.id, f.err
	}
}

func (c *Controller) runFind(s routes.Service, need backs.Need, f *pendingFind) {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	f.id, f.err = c.findOrLoad(ctx, s, need)
	c.mu.Lock()
	delete(c.pendingFinds, need)
	c.mu.Unlock()
	close(f.done)
}

// findOrLoad waits until a server is ready, and orders what is missing to be loaded.
func (c *Controller) findOrLoad(ctx context.Context, s routes.Service, need backs.Need) (string, error) {
	for {
		changed := c.Changed()
		id, err := c.TryFind(ctx, c.Now(), s, need)
		if id != "" || err != nil {
			return id, err
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no ready server: %w", ctx.Err())
		case <-changed:
			pause.For(ctx, findDebounce)
		case <-time.After(findPollInterval):
		}
	}
}

// TryFind returns a server that meets a need. If there is none, it returns "" and orders the adapter to be
// loaded at a server that has the model, if there is one. A model that servers of the needed version lack
// is loaded at one of them; otherwise the plan decides on models.
func (c *Controller) TryFind(ctx context.Context, now time.Time, s routes.Service, need backs.Need) (string, error) {
	if id := c.readyServer(now, need); id != "" {
		return id, nil
	}
	if _, leading := c.FencingToken(now); !leading {
		return "", errNotLeading
	}
	if need.Version != "" {
		c.loadModelForVersion(ctx, now, s, need)
	}
	if need.Adapter != "" {
		c.loadAdapter(ctx, now, s, need)
	}
	return "", nil
}

// readyServer returns a server that is ready for requests with a need, "" for none.
func (c *Controller) readyServer(now time.Time, need backs.Need) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.serversOf(need.Service) {
		if need.AllowsVersion(s.entry) && s.Serves(now, need.Model, need.Adapter) && !s.reportRequired && c.reachable(now, s) {
			return s.entry.ID
		}
	}
	return ""
}
