package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/store"
)

const (
	// storeAgain is the pause before the store is tried again, half to one and
	// a half of it, so that all VMs do not call in the same moment.
	storeAgain = 300 * time.Millisecond
	// onceMore is the longest pause before the second try, over another connection: the first
	// may have failed since a connection was silent or this VM stood still.
	onceMore = 50 * time.Millisecond
	// awayTries is how many calls in a row must fail for the store to count as away.
	awayTries = 2
	// startAlone is how long a VM that starts waits for the controller to tell
	// it everything before it asks the store: with many VMs that start at once,
	// each asking for all servers would use the store's rate up.
	startAlone = 500 * time.Millisecond
	// coverEvery is how often a VM that is told everything looks whether it
	// still is.
	coverEvery = 50 * time.Millisecond
	// gatherChanges is the pause after a watch that brought changes, so that
	// those which follow at once come with one call.
	gatherChanges = 40 * time.Millisecond
	// gatherPerVM lengthens it: with more VMs there are more servers, each of
	// whose changes would else be a call.
	gatherPerVM = 1500 * time.Microsecond
	// aloneFactor stretches the wait of a watch on a VM that watches for itself
	// only.
	aloneFactor = 2
	// lostWait is the wait of a watch on a store that did not answer the one before.
	lostWait = time.Millisecond
	// askAnyway is how long the servers' follower leaves it to that of the configuration to
	// find the store again. Where the store answers for the one kind only, the VM would go by
	// servers of long ago; five seconds cost a fifth of the calls.
	askAnyway = 5 * time.Second
)

// watcher follows one kind of objects.
type watcher struct {
	kind    string
	listed  func(now time.Time, l store.Listing)
	changed func(now time.Time, c store.Change)
	// current is told that all changes up to now are known.
	current func(now time.Time)
}

// follow lists a kind and watches it until ctx ends, except while the
// controller tells this VM what changes.
func (n *Node) follow(ctx context.Context, w watcher) {
	known := false
	from := 0
	begun := n.now()
	var asked time.Time
	for ctx.Err() == nil {
		if now := n.now(); n.covered(now) || !n.peers.Leading() && now.Sub(begun) < startAlone {
			known = false
			n.forgetOne(w.kind)
			pause.For(ctx, coverEvery)
			continue
		}
		if w.kind != n.config.ConfigKind && n.isLost(w.kind) && n.storeAway() && n.now().Sub(asked) < askAnyway {
			pause.For(ctx, coverEvery)
			continue
		}
		asked = n.now()
		var err error
		if known {
			from, err = n.watchOnce(ctx, w, from)
		} else {
			from, err = n.listOnce(ctx, w)
		}
		if err == nil {
			known = true
			if n.answered(w.kind) >= awayTries {
				n.log.Info().Str("kind", w.kind).Int("version", from).Msg("store regained")
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if store.IsGone(err) {
			known = false
			n.log.Info().Str("kind", w.kind).Int("version", from).Msg("history gone, listing again")
			continue
		}
		n.config.CloseIdle()
		failures := n.unanswered(w.kind)
		if failures < awayTries {
			n.log.Info().Str("kind", w.kind).Int("version", from).Err(err).Msg("store did not answer")
			pause.For(ctx, rand.N(onceMore))
			continue
		}
		if failures == awayTries {
			n.log.Warn().Str("kind", w.kind).Int("version", from).Err(err).Msg("store lost")
		}
		n.servers.MarkStoreDown()
		pause.For(ctx, time.Duration(n.peers.PollIntervalFactor()*float64(storeAgain/2+rand.N(storeAgain))))
	}
}

// Load pattern: the store is away, and all VMs ask it whether it is back: each for the
// configuration, for the servers and for the lease. With 195 VMs that is 650 calls a second
// while it struggles, in place of 20. The one question for the configuration says as much;
// the others wait for its answer. The VM that steers asks for all of them, as the others
// are told by it within milliseconds.

// storeAway reports whether the store did not answer this VM when it was asked last. The
// configuration's follower goes on asking.
func (n *Node) storeAway() bool { return !n.peers.Leading() && n.isLost(n.config.ConfigKind) }

// isLost reports whether the store counts as away for a kind.
func (n *Node) isLost(kind string) bool { return n.failures(kind) >= awayTries }

// failures returns how many calls for a kind failed since the last answer.
func (n *Node) failures(kind string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed[kind]
}

// unanswered counts a call for a kind that failed, and returns how many did in a row.
func (n *Node) unanswered(kind string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failed[kind]++
	return n.failed[kind]
}

// forgetOne drops a single failure of long ago.
func (n *Node) forgetOne(kind string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed[kind] < awayTries {
		n.failed[kind] = 0
	}
}

// answered notes that the store answered for a kind, and returns how many calls had failed
// before.
func (n *Node) answered(kind string) (before int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before = n.failed[kind]
	n.failed[kind] = 0
	return before
}

// covered reports whether the controller, another VM, tells this one what
// changes.
func (n *Node) covered(now time.Time) bool { return !n.peers.Leading() && n.peers.HubDataFresh(now) }

// heard notes that the store told what is current of a kind.
func (n *Node) heard(now time.Time, kind string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contact[kind] = now
}

// current returns when the store told last that all that this VM knows is
// current.
func (n *Node) current() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	config, servers := n.contact[n.config.ConfigKind], n.contact[n.config.ServerKind]
	if config.Before(servers) {
		return config
	}
	return servers
}

func (n *Node) listOnce(ctx context.Context, w watcher) (int, error) {
	l, err := n.config.Objects.List(ctx, w.kind)
	if err != nil {
		return 0, err
	}
	now := n.now()
	n.heard(now, w.kind)
	w.current(now)
	w.listed(now, l)
	return l.Version, nil
}

func (n *Node) watchOnce(ctx context.Context, w watcher, from int) (int, error) {
	wait := n.settings().Duration("store", "wait")
	if !n.peers.Leading() {
		wait *= aloneFactor
	}
	if n.failures(w.kind) > 0 {
		// The first answer tells that the store is there; others wait for it.
		wait = lostWait
	}
	list, next, err := n.config.Objects.Watch(ctx, w.kind, from, wait)
	if err != nil {
		return from, err
	}
	now := n.now()
	n.heard(now, w.kind)
	w.current(now)
	for _, c := range list {
		w.changed(now, c)
	}
	if len(list) > 0 {
		pause.For(ctx, gatherChanges+time.Duration(n.peers.VMs())*gatherPerVM)
	}
	return next, nil
}

// configWatcher puts the newest configuration in force. A lower version never
// replaces a higher one.
func (n *Node) configWatcher() watcher {
	return watcher{
		kind: n.config.ConfigKind,
		listed: func(_ time.Time, l store.Listing) {
			for _, o := range l.Items {
				n.takeConfig(o)
			}
		},
		changed: func(_ time.Time, c store.Change) {
			if !c.Deleted {
				n.takeConfig(c.Object)
			}
		},
		current: func(time.Time) {},
	}
}

func (n *Node) adopt(table *routes.Table, revision int, value []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision <= n.revision {
		return
	}
	n.revision, n.value = revision, value
	n.table.Store(table)
	close(n.configured)
	n.configured = make(chan struct{})
	n.log.Info().Int("config_version", table.Version()).Int("revision", revision).Msg("configuration in force")
}

// configValue returns the configuration in force as the store holds it.
func (n *Node) configValue() (int, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revision, n.value
}

func (n *Node) configChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configured
}

// configure puts a configuration in force that the controller told.
func (n *Node) configure(revision int, value []byte) {
	n.takeConfig(store.Object{Kind: n.config.ConfigKind, Name: n.config.ConfigName, Version: revision, Value: value})
}

func (n *Node) takeConfig(o store.Object) {
	if o.Name != n.config.ConfigName {
		return
	}
	table, err := n.config.Table(o)
	if err != nil {
		n.log.Error().Err(err).Int("version", o.Version).Msg("configuration not readable, the one in force stays")
		return
	}
	n.adopt(table, o.Version, o.Value)
}

// serverWatcher keeps the view of the backend servers.
func (n *Node) serverWatcher() watcher {
	return watcher{
		kind: n.config.ServerKind,
		listed: func(now time.Time, l store.Listing) {
			entries := make([]backs.Entry, 0, len(l.Items))
			var unreadable []string
			for _, o := range l.Items {
				if e, ok := n.entry(o); ok {
					entries = append(entries, e)
				} else {
					unreadable = append(unreadable, o.Name)
				}
			}
			n.servers.Replace(now, entries, unreadable...)
		},
		changed: n.serverChanged,
		current: n.servers.MarkCurrent,
	}
}

func (n *Node) entry(o store.Object) (backs.Entry, bool) {
	e, err := n.config.Entry(o)
	if err != nil {
		n.log.Error().Err(err).Int("version", o.Version).Msg("entry names no server to use")
		return backs.Entry{}, false
	}
	return e, true
}

// noteMissing logs what becomes of a server whose entry went missing, also where another
// VM told of it or left it out of its list.
func (n *Node) noteMissing(m backs.Missing) {
	text := "server gone"
	if m.Kept {
		text = "entry missing, server kept in use"
	} else {
		n.poison.ProcessEnded(n.now(), m.ID)
	}
	n.log.Info().Str("server", m.ID).Msg(text)
}

// noteCrash logs and counts a server crash that this VM detected during a request.
func (n *Node) noteCrash(c poison.Crash, crashes int) {
	n.meter.AddCounter("poison.crashes", 1)
	n.log.Info().Str("fingerprint", string(c.Request)).Str("server", c.Server).Int("crashes", crashes).Msg("server crashed while processing a request")
}

// noteBlock logs and counts a request that has become blocked on this VM.
func (n *Node) noteBlock(s poison.Suspect) {
	n.meter.AddCounter("poison.blocked", 1)
	n.log.Warn().Str("fingerprint", string(s.Request)).Int("crashes", s.Crashes).Dur("for", s.BlockedFor).Msg("request blocked")
}

func (n *Node) serverChanged(now time.Time, c store.Change) {
	if c.Deleted {
		n.servers.Remove(now, c.Object.Name)
		n.log.Info().Str("server", c.Object.Name).Int("version", c.Object.Version).Msg("server removed")
		return
	}
	e, ok := n.entry(c.Object)
	if !ok {
		n.servers.MarkUnreadable(c.Object.Name)
		return
	}
	n.servers.Put(now, e)
	n.log.Info().Str("server", e.ID).Str("address", e.Address).Str("service", e.Service).Bool("draining", e.Draining).
		Int("models", len(e.Models)).Int("version", c.Object.Version).Msg("server changed")
}
