package peers

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// serveLink is the controller's side of a link.
func (p *Peers) serveLink(ctx context.Context, c *link.Conn) {
	vm := c.Peer().Node
	if !p.addLink(c, vm) {
		return
	}
	p.Log.Info().Str("vm", vm).Msg("link opened")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.tell(ctx, c, vm)
	for {
		m, err := c.Receive(ctx)
		if err != nil {
			p.dropLink(c, vm)
			p.Log.Info().Str("vm", vm).Err(err).Msg("link closed")
			return
		}
		p.take(ctx, c, vm, m)
	}
}

func (p *Peers) addLink(c *link.Conn, vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.Lease.Held(p.Now()) {
		return false
	}
	if p.links == nil {
		p.links = make(map[*link.Conn]string)
	}
	p.links[c] = vm
	return true
}

func (p *Peers) dropLink(c *link.Conn, vm string) {
	p.mu.Lock()
	delete(p.links, c)
	again := false
	for _, name := range p.links {
		again = again || name == vm
	}
	p.mu.Unlock()
	if !again {
		p.Controller.Left(vm)
	}
}

// take handles one frame of another VM.
func (p *Peers) take(ctx context.Context, c *link.Conn, vm string, m *wire.Message) {
	switch {
	case m.VMReport != nil:
		p.Controller.Report(p.Now(), vm, loadsOf(m.VMReport.Loads), wantsOf(m.VMReport.Wants))
	case m.FindCall != nil:
		go p.answerFind(ctx, c, m.FindCall)
	}
}

func (p *Peers) answerFind(ctx context.Context, c *link.Conn, call *wire.FindCall) {
	ctx, cancel := context.WithTimeout(ctx, findLimit)
	defer cancel()
	reply := &wire.FindReply{Call: call.Call}
	id, err := p.Controller.Find(ctx, call.Service, call.Model, call.Adapter)
	if err != nil {
		reply.Reason = err.Error()
	}
	reply.Server = id
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), linkSilence)
	defer stop()
	if err := c.Send(ctx, &wire.Message{FindReply: reply}); err != nil {
		p.Log.Info().Err(err).Msg("reply to a VM not sent")
	}
}

// findLimit bounds the controller's work for one question; the VM that asks has
// given up by then.
const findLimit = 10 * time.Second

// tell sends the controller's view on a link: what servers hold as soon as it
// changes, the load of others at intervals.
func (p *Peers) tell(ctx context.Context, c *link.Conn, vm string) {
	var since, last time.Time
	for ctx.Err() == nil {
		changed := p.Controller.Changed()
		now := p.Now()
		shown := p.Controller.ShownSince(now, since)
		if len(shown) > 0 || now.Sub(last) >= interval(p.VMs()) {
			state := &wire.FleetState{Vms: p.VMs(), Servers: statesOf(now, shown), Others: loadList(p.Controller.Others(vm))}
			send, cancel := context.WithTimeout(ctx, linkSilence)
			err := c.Send(send, &wire.Message{FleetState: state})
			cancel()
			if err != nil {
				c.Close()
				return
			}
			since, last = now, now
		}
		select {
		case <-ctx.Done():
		case <-changed:
			// What changes together is told together.
			select {
			case <-ctx.Done():
			case <-time.After(gather):
			}
		case <-time.After(interval(p.VMs())):
		}
	}
}

// gather is how long a change waits for others that follow at once.
const gather = 5 * time.Millisecond

func statesOf(now time.Time, shown []steer.Shown) []wire.ServerState {
	list := make([]wire.ServerState, 0, len(shown))
	for _, s := range shown {
		state := wire.ServerState{Server: s.Server, AgeMs: int(now.Sub(s.Changed).Milliseconds()), Models: []wire.HeldModel{}}
		for _, h := range s.Models {
			state.Models = append(state.Models, wire.HeldModel{Name: h.Model, Adapters: append([]string{}, h.Adapters...)})
		}
		list = append(list, state)
	}
	return list
}

func heldOf(models []wire.HeldModel) []backs.Held {
	list := make([]backs.Held, 0, len(models))
	for _, m := range models {
		list = append(list, backs.Held{Model: m.Name, Adapters: m.Adapters})
	}
	return list
}

func loadList(loads map[string]pick.Load) []wire.ServerLoad {
	list := make([]wire.ServerLoad, 0, len(loads))
	for id, l := range loads {
		if l.Running != 0 {
			list = append(list, wire.ServerLoad{Server: id, Running: l.Running, Reading: l.Reading, Tokens: l.Tokens})
		}
	}
	return list
}

func loadsOf(list []wire.ServerLoad) map[string]pick.Load {
	loads := make(map[string]pick.Load, len(list))
	for _, l := range list {
		loads[l.Server] = pick.Load{Running: l.Running, Reading: l.Reading, Tokens: l.Tokens}
	}
	return loads
}

func wantsOf(list []wire.ModelWant) []steer.Want {
	wants := make([]steer.Want, 0, len(list))
	for _, w := range list {
		wants = append(wants, steer.Want{Service: w.Service, Model: w.Model, Adapter: w.Adapter, Requests: w.Requests, Tokens: w.Tokens})
	}
	return wants
}
