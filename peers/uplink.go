package peers

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// uplink is a VM's link to its hub: the controller, or a relay.
type uplink struct {
	conn    *link.Conn
	address string
	// direct says that the hub is the controller. A relay may become it.
	direct bool

	mu sync.Mutex
	// version is that of the controller's lease as the hub told it last.
	version int
	// told is the load that this VM reported last: it is part of the
	// controller's sums.
	told    map[string]pick.Load
	next    int
	waiting map[int]chan *wire.Message
	closed  bool
}

// follow keeps a link to a hub until it breaks. It reports whether there was one.
func (p *Peers) follow(ctx context.Context, address, controller, key string) bool {
	dialer := &link.Dialer{Hello: p.hello, Key: key, CountBytes: p.count, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return conns.Dial(ctx, address)
	}}
	dial, cancel := context.WithTimeout(ctx, linkDial)
	conn, err := dialer.Dial(dial, address)
	cancel()
	if err != nil {
		p.Log.Info().Str("address", address).Err(err).Msg("controller not reached")
		if address != controller {
			p.shun(p.Now(), address)
		}
		return false
	}
	up := &uplink{conn: conn, address: address, direct: address == controller, waiting: make(map[int]chan *wire.Message)}
	p.setUplink(up)
	p.Log.Info().Str("address", address).Str("peer", conn.PeerHello().Node).Bool("direct", up.direct).Msg("linked to the controller")
	root := ctx
	ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	go p.report(ctx, up)
	go p.lookForOther(ctx, up)
	err = p.listen(ctx, root, up)
	p.setUplink(nil)
	up.close()
	p.forgetOutside()
	if address != controller {
		p.shun(p.Now(), address)
	}
	p.Log.Info().Str("address", address).Err(err).Msg("link to the controller lost")
	return true
}

func (p *Peers) direct(up *uplink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return up.direct
}

// forgetOutside drops the load of VMs that no hub tells of any more.
func (p *Peers) forgetOutside() {
	p.mu.Lock()
	p.outside = nil
	p.mu.Unlock()
	p.shareInside()
}

// relayGrace is how long a VM stays with a relay that has not told of a renewal of the
// lease which the VM has read in the store: a relay finds another controller by itself
// within a search or two, 0.3 to 0.9 s each.
const relayGrace = time.Second

// readAnyway is how long a VM leaves it to its other questions to find the store again. Where
// the store answers for the lease only, it would stay with a controller that has been
// succeeded.
const readAnyway = 5 * time.Second

// lookForOther looks at the lease while the hub's word is old, and ends the link when
// there is a better one. A controller that is cut off from the store may still speak to
// this VM while another one has the lease. So may a relay that is cut off together with its
// controller: it can not find the other one, and all VMs of its domain would hang on it, ask
// the store themselves, and neither tell their load nor be told of that of others. They
// have to find out by themselves, as they reach the store.
func (p *Peers) lookForOther(ctx context.Context, up *uplink) {
	var behind, read time.Time
	for ctx.Err() == nil {
		pause.For(ctx, p.searchPause())
		now := p.Now()
		if p.Covered(now) || p.storeAway() && now.Sub(read) < readAnyway {
			behind = time.Time{}
			continue
		}
		read = now
		p.Lease.Step(ctx)
		now = p.Now()
		if version, _ := p.Lease.Renewed(); version <= up.renewal() {
			behind = time.Time{}
		} else if behind.IsZero() {
			behind = now
		}
		if p.Lease.Held(now) || p.supersededHub(now, up, behind) {
			p.Log.Info().Str("address", up.address).Msg("leaving a hub that is behind")
			up.conn.Close()
			return
		}
	}
}

// storeAway reports whether this VM knows that the store does not answer it.
func (p *Peers) storeAway() bool { return p.StoreAway != nil && p.StoreAway() }

// supersededHub reports whether another VM is to be linked to in place of the hub. behind is
// since when the store tells of a renewal that the hub does not, zero when it does.
func (p *Peers) supersededHub(now time.Time, up *uplink, behind time.Time) bool {
	holder, _ := p.Lease.Holder()
	if holder == "" {
		return false
	}
	if p.direct(up) {
		return holder != up.address
	}
	return !behind.IsZero() && now.Sub(behind) >= relayGrace
}

func (p *Peers) setUplink(up *uplink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = up
}

// report tells the hub the load and demand of this VM and of those linked to it.
func (p *Peers) report(ctx context.Context, up *uplink) {
	quiet, told := true, branch{vms: 1}
	p.Poison.MarkUnreported()
	p.Limits.MarkUnreported(p.Now())
	for ctx.Err() == nil {
		own := p.inside()
		self, every := p.reporting()
		loads, wants, doubts := loadList(own), wantList(p.takeWants()), append([]string{}, p.takeDoubts()...)
		crashes, limits := p.Poison.TakeReport(), limitList(p.Limits.TakeReport())
		up.tell(own)
		if !crashes.Empty() || len(limits) > 0 || len(loads) > 0 || len(wants) > 0 || len(doubts) > 0 || !quiet || self.vms != told.vms || self.relaying != told.relaying {
			quiet, told = len(loads) == 0 && len(wants) == 0, self
			report := &wire.VMReport{Vms: self.vms, Relaying: self.relaying, Loads: loads, Wants: wants, Doubts: doubts, Limits: limits}
			addCrashes(report, crashes)
			if err := up.conn.Send(ctx, &wire.Message{VMReport: report}); err != nil {
				up.conn.Close()
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

// reporting returns what this VM is to its hub, and how often it reports.
func (p *Peers) reporting() (self branch, every time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return branch{vms: p.vmCount(), relaying: p.relaying}, max(p.pause, shareEvery)
}

// listen takes in the hub's frames. root outlives the link.
func (p *Peers) listen(ctx, root context.Context, up *uplink) error {
	for {
		receive, cancel := context.WithTimeout(ctx, linkSilence)
		m, err := up.conn.Receive(receive)
		cancel()
		if err != nil {
			return err
		}
		switch {
		case m.FleetState != nil:
			p.adopt(root, up, m.FleetState)
		case m.ConfigState != nil:
			p.adoptConfig(m.ConfigState)
		case m.FindReply != nil:
			up.reply(m.FindReply.Call, m)
		case m.PermitReply != nil:
			up.reply(m.PermitReply.Call, m)
		}
	}
}

// renewal returns the version of the controller's lease as the hub told it last.
func (u *uplink) renewal() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.version
}

func (u *uplink) renewed(version int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.version = version
}

func (u *uplink) tell(own map[string]pick.Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.told = own
}

func (u *uplink) lastTold() map[string]pick.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.told
}

// adopt takes in the hub's view.
func (p *Peers) adopt(root context.Context, up *uplink, s *wire.FleetState) {
	now := p.Now()
	p.mu.Lock()
	p.vms = s.Vms
	p.fresh, p.lent = now.Add(-time.Duration(s.AgeMs)*time.Millisecond), 0
	if up.direct = !s.Relayed; s.Relayed {
		p.lent = relaySlack
	}
	p.mu.Unlock()
	up.renewed(s.LeaseVersion)
	p.told(s.LeaseVersion, s.Lease)
	states := make([]backs.State, 0, len(s.Servers))
	for _, state := range s.Servers {
		states = append(states, stateOf(state))
	}
	p.Servers.Merge(now, backs.Update{
		States: states, Full: s.Full, Age: time.Duration(s.AgeMs) * time.Millisecond, SyncedFor: time.Duration(s.KnownMs) * time.Millisecond,
	})
	if !s.HasLoads {
		return
	}
	p.Poison.MergeSuspects(now, suspectsOf(s.Suspects))
	p.Limits.Merge(now, limitsOf(s.Limits))
	p.mu.Lock()
	p.outside = pick.Minus(loadsOf(s.Loads), up.lastTold())
	p.pause = time.Duration(s.PauseMs) * time.Millisecond
	p.mu.Unlock()
	p.shareInside()
	p.takePlace(root, now, up, s.Relays)
}

// told takes in a renewal of the controller's lease; a relay passes it on at
// once.
func (p *Peers) told(version int, record wire.ControllerLease) {
	before, _ := p.Lease.Renewed()
	p.Lease.Told(version, record)
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == before || p.renewed == nil {
		return
	}
	select {
	case p.renewed <- struct{}{}:
	default:
	}
}

func (p *Peers) adoptConfig(s *wire.ConfigState) {
	value, err := unpackConfig(s)
	if err != nil {
		p.Log.Error().Err(err).Int("revision", s.Revision).Msg("configuration from the controller not readable")
		return
	}
	p.Configure(s.Revision, value)
}

var errUnknownLimit = errors.New("the controller does not know the server's rate limit")

var errLinkLost = errors.New("the link to the controller was lost")

func (u *uplink) find(ctx context.Context, service, model, adapter string) (string, error) {
	m, err := u.call(ctx, func(call int) *wire.Message {
		return &wire.Message{FindCall: &wire.FindCall{Call: call, Service: service, Model: model, Adapter: adapter}}
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

// call sends the message that newMessage returns for a call number to the hub, and waits for the
// reply with the same number.
func (u *uplink) call(ctx context.Context, newMessage func(call int) *wire.Message) (*wire.Message, error) {
	call, answer := u.register()
	defer u.forget(call)
	m := newMessage(call)
	m.Traceparent = spans.Inject(ctx)
	if err := u.conn.Send(ctx, m); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case reply, ok := <-answer:
		if !ok {
			return nil, errLinkLost
		}
		return reply, nil
	}
}

func (u *uplink) register() (int, chan *wire.Message) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next++
	answer := make(chan *wire.Message, 1)
	if u.closed {
		close(answer)
		return u.next, answer
	}
	u.waiting[u.next] = answer
	return u.next, answer
}

func (u *uplink) forget(call int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.waiting, call)
}

func (u *uplink) reply(call int, m *wire.Message) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if answer, ok := u.waiting[call]; ok {
		answer <- m
		delete(u.waiting, call)
	}
}

func (u *uplink) close() {
	u.conn.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for call, answer := range u.waiting {
		close(answer)
		delete(u.waiting, call)
	}
}
