package peers

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

var errUnknownLimit = errors.New("the controller has no rate limit for the server")

var errLinkLost = errors.New("link to the hub lost")

// find returns the ID of a server that meets a need, as found by the hub.
func (u *uplink) find(ctx context.Context, need backs.Need) (string, error) {
	m, err := u.call(ctx, func(call int) *wire.Message {
		return &wire.Message{FindCall: &wire.FindCall{Call: call, Service: need.Service, Model: need.Model, Adapter: need.Adapter, Version: need.Version}}
	})
	if err != nil {
		return "", err
	}
	if m.FindReply.Server == "" {
		return "", errors.New(m.FindReply.Reason)
	}
	return m.FindReply.Server, nil
}

// permit requests a permit for one request to a server from the hub. It returns 0 if the permit was
// granted, and otherwise how long to wait before the next call.
func (u *uplink) permit(ctx context.Context, server string) (time.Duration, error) {
	m, err := u.call(ctx, func(call int) *wire.Message {
		return &wire.Message{PermitCall: &wire.PermitCall{Call: call, Server: server}}
	})
	if err != nil {
		return 0, err
	}
	if m.PermitReply.WaitUs < 0 {
		return 0, errUnknownLimit
	}
	return time.Duration(m.PermitReply.WaitUs) * time.Microsecond, nil
}

// takeQuota requests the tokens of a request from the hub.
func (u *uplink) takeQuota(ctx context.Context, r limit.QuotaRequest) (wait time.Duration, granted bool, err error) {
	m, err := u.call(ctx, func(call int) *wire.Message {
		return &wire.Message{QuotaCall: &wire.QuotaCall{Call: call, Team: r.Team, Tokens: r.Tokens, Rank: r.Rank, PatienceUs: int(r.Patience.Microseconds())}}
	})
	if err != nil {
		return 0, false, err
	}
	return time.Duration(m.QuotaReply.WaitUs) * time.Microsecond, m.QuotaReply.Granted, nil
}

// call sends the message that newMessage returns for a call number to the hub, and waits for the
// reply with the same number.
func (u *uplink) call(ctx context.Context, newMessage func(call int) *wire.Message) (*wire.Message, error) {
	call, replies := u.calls.add()
	defer u.calls.remove(call)
	m := newMessage(call)
	m.Traceparent = spans.Inject(ctx)
	if err := u.conn.Send(ctx, m); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case reply, ok := <-replies:
		if !ok {
			return nil, errLinkLost
		}
		return reply, nil
	}
}

// calls are the calls to a hub that wait for their replies. The zero value is ready to use.
type calls struct {
	mu      sync.Mutex
	last    int
	pending map[int]chan *wire.Message
	closed  bool
}

// add registers a call and returns its number and the channel for its reply, which is closed if the link is.
func (c *calls) add() (int, chan *wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	replies := make(chan *wire.Message, 1)
	if c.closed {
		close(replies)
		return c.last, replies
	}
	if c.pending == nil {
		c.pending = make(map[int]chan *wire.Message)
	}
	c.pending[c.last] = replies
	return c.last, replies
}

func (c *calls) remove(call int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, call)
}

// deliver passes a reply on to the call that waits for it.
func (c *calls) deliver(call int, m *wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if replies, ok := c.pending[call]; ok {
		replies <- m
		delete(c.pending, call)
	}
}

// close ends all calls.
func (c *calls) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for call, replies := range c.pending {
		close(replies)
		delete(c.pending, call)
	}
}
