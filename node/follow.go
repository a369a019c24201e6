package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/store"
)

const (
	// storeRetryDelay is the average delay before the store is called again during an outage. The
	// delay varies from half to one and a half times this, so that the VMs do not all call at once.
	storeRetryDelay = 300 * time.Millisecond
	// maxFirstRetryDelay is the maximum delay before the first retry, which uses another connection.
	// The failed call may have been caused by a broken connection or a suspension of this VM.
	maxFirstRetryDelay = 50 * time.Millisecond
	// outageFailures is the number of consecutive failed calls after which the store counts as
	// unreachable.
	outageFailures = 2
	// startupHubWait is how long a starting VM waits for the data of the controller before it reads
	// the store itself, longer in a large fleet (see peers.HerdFactor). When many
	// VMs start at once, listing all servers from each of them would exhaust the store's rate limit.
	startupHubWait = 500 * time.Millisecond
	// hubCheckInterval is the interval between checks whether this VM must call the store itself.
	hubCheckInterval = 50 * time.Millisecond
	// changeBatchDelay is the pause after a watch that returned changes, so that the next call
	// returns the changes of the meantime together.
	changeBatchDelay = 40 * time.Millisecond
	// changeBatchDelayPerVM extends changeBatchDelay for each VM. More VMs come with more servers,
	// and each change of a server would otherwise need a call of its own.
	changeBatchDelayPerVM = 1500 * time.Microsecond
	// localWatchWaitFactor extends the wait of a watch whose changes only this VM uses.
	localWatchWaitFactor = 2
	// recoveryWatchWait is the wait of a watch after a failed call.
	recoveryWatchWait = time.Millisecond
	// serverPollInterval is the interval at which the follower of the servers calls an unreachable
	// store, while the follower of the configuration polls it for both. Without these calls, a VM
	// would use an outdated list of servers if the store served only the servers' kind. At an
	// interval of 5 s there are a fifth as many calls as with the usual retries.
	serverPollInterval = 5 * time.Second
)

// watcher holds the handlers for the objects of one kind.
type watcher struct {
	kind     string
	onList   func(now time.Time, l store.Listing)
	onChange func(now time.Time, c store.Change)
	// onCurrent is called when a response of the store includes all changes up to now.
	onCurrent func(now time.Time)
}

// follow lists a kind and watches it until ctx ends, except while the controller sends this VM the
// changes.
func (n *Node) follow(ctx context.Context, w watcher) {
	synced := false
	version := 0
	startedAt := n.now()
	var lastCallAt time.Time
	for ctx.Err() == nil {
		termStarted := n.peers.TermStarted()
		if n.leavesStoreToHub(n.now(), startedAt) {
			synced = false
			n.discardSingleFailure(w.kind)
			n.pauseForHub(ctx, termStarted, hubCheckInterval)
			continue
		}
		if w.kind != n.config.ConfigKind && n.kindUnreachable(w.kind) && n.storeUnreachable() && n.now().Sub(lastCallAt) < serverPollInterval {
			pause.For(ctx, hubCheckInterval)
			continue
		}
		lastCallAt = n.now()
		var err error
		if synced {
			version, err = n.watchOnce(ctx, w, version)
		} else {
			version, err = n.listOnce(ctx, w)
		}
		if err == nil {
			synced = true
			if n.resetFailures(w.kind) >= outageFailures {
				n.log.Info().Str("kind", w.kind).Int("version", version).Msg("store reachable again")
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if store.IsGone(err) {
			synced = false
			n.log.Info().Str("kind", w.kind).Int("version", version).Msg("watch version expired; listing again")
			continue
		}
		n.config.CloseIdleStoreConns()
		failures := n.recordFailure(w.kind)
		if failures < outageFailures {
			n.log.Info().Str("kind", w.kind).Int("version", version).Err(err).Msg("store call failed; retrying")
			pause.For(ctx, rand.N(maxFirstRetryDelay))
			continue
		}
		if failures == outageFailures {
			n.log.Warn().Str("kind", w.kind).Int("version", version).Err(err).Msg("store unreachable")
		}
		n.serverView.MarkStoreUnreachable()
		pause.For(ctx, time.Duration(n.peers.PollIntervalFactor()*float64(storeRetryDelay/2+rand.N(storeRetryDelay))))
	}
}

// pauseForHub waits while the hub keeps this VM's data current, for at least a time, unless termStarted is
// closed because this VM becomes the controller. A VM at rest has little else to do: with fixed intervals, a thousand VMs wake up tens of
// thousands of times a second only to find that nothing has changed.
func (n *Node) pauseForHub(ctx context.Context, termStarted <-chan struct{}, least time.Duration) {
	timer := time.NewTimer(max(n.peers.HubDataFreshFor(n.now()), least))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-termStarted:
	case <-timer.C:
	}
}

// leavesStoreToHub reports whether this VM does not call the store, because a hub keeps its data current
// or is about to send it.
func (n *Node) leavesStoreToHub(now, startedAt time.Time) bool {
	if n.peers.Leading() {
		return false
	}
	startupWait := time.Duration(n.peers.HerdFactor() * float64(startupHubWait))
	return n.peers.HubDataFresh(now) || now.Sub(startedAt) < startupWait || n.peers.AwaitsState(now)
}

// If every VM polled an unreachable store for the configuration, the servers and the lease, 195 VMs
// would send it 650 calls per second during the outage instead of 20. A poll for the configuration
// detects the recovery just as well, so the other calls wait for its response. The controller makes
// all three calls, because the other VMs get its data within milliseconds.

// storeUnreachable reports whether the store is unreachable and this VM, not being the controller,
// polls it only for the configuration.
func (n *Node) storeUnreachable() bool {
	return !n.peers.Leading() && n.kindUnreachable(n.config.ConfigKind)
}

// kindUnreachable reports whether the store counts as unreachable for a kind.
func (n *Node) kindUnreachable(kind string) bool { return n.failureCount(kind) >= outageFailures }

// failureCount returns the number of consecutive failed calls for a kind.
func (n *Node) failureCount(kind string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failedCalls[kind]
}

// recordFailure records a failed call for a kind and returns the number of consecutive ones.
func (n *Node) recordFailure(kind string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failedCalls[kind]++
	return n.failedCalls[kind]
}

// discardSingleFailure resets the failure count of a kind, unless the store counts as unreachable.
// Otherwise an old failure would count as consecutive with the next one.
func (n *Node) discardSingleFailure(kind string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failedCalls[kind] < outageFailures {
		n.failedCalls[kind] = 0
	}
}

// resetFailures records a response for a kind and returns the number of calls that failed before.
func (n *Node) resetFailures(kind string) (failures int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	failures = n.failedCalls[kind]
	n.failedCalls[kind] = 0
	return failures
}

// coveredByController reports whether another VM is the controller and keeps this VM's data current.
func (n *Node) coveredByController(now time.Time) bool {
	return !n.peers.Leading() && n.peers.HubDataFresh(now)
}

// recordConfirmation records that the store confirmed the data of a kind as current.
func (n *Node) recordConfirmation(now time.Time, kind string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmedAt[kind] = now
}

// dataConfirmedAt returns when the store last confirmed that all data of this VM is current.
func (n *Node) dataConfirmedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	config, servers := n.confirmedAt[n.config.ConfigKind], n.confirmedAt[n.config.ServerKind]
	if config.Before(servers) {
		return config
	}
	return servers
}

func (n *Node) listOnce(ctx context.Context, w watcher) (int, error) {
	listing, err := n.config.Objects.List(ctx, w.kind)
	if err != nil {
		return 0, err
	}
	now := n.now()
	n.recordConfirmation(now, w.kind)
	w.onCurrent(now)
	w.onList(now, listing)
	return listing.Version, nil
}

func (n *Node) watchOnce(ctx context.Context, w watcher, version int) (int, error) {
	wait := n.settings().Duration("store", "wait")
	if !n.peers.Leading() {
		wait *= localWatchWaitFactor
	}
	if n.failureCount(w.kind) > 0 {
		// A response shows that the store has recovered. Other calls wait for it, so it must not be
		// delayed by a long poll.
		wait = recoveryWatchWait
	}
	changes, next, err := n.config.Objects.Watch(ctx, w.kind, version, wait)
	if err != nil {
		return version, err
	}
	now := n.now()
	n.recordConfirmation(now, w.kind)
	w.onCurrent(now)
	for _, c := range changes {
		w.onChange(now, c)
	}
	if len(changes) > 0 {
		pause.For(ctx, changeBatchDelay+time.Duration(n.peers.VMs())*changeBatchDelayPerVM)
	}
	return next, nil
}

// configWatcher returns the watcher that applies the newest configuration. A lower revision never
// replaces a higher one.
func (n *Node) configWatcher() watcher {
	return watcher{
		kind: n.config.ConfigKind,
		onList: func(_ time.Time, l store.Listing) {
			for _, o := range l.Items {
				n.applyConfigObject(o)
			}
		},
		onChange: func(_ time.Time, c store.Change) {
			if !c.Deleted {
				n.applyConfigObject(c.Object)
			}
		},
		onCurrent: func(time.Time) {},
	}
}

// maxConfigAge is the time after which a configuration that nobody has confirmed may be outdated. The
// store confirms it once in each watch, and the controller in each frame.
const maxConfigAge = 2 * time.Second

// configCurrent reports whether the store or the controller has recently confirmed the configuration.
func (n *Node) configCurrent(now time.Time) bool {
	if n.coveredByController(now) {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.confirmedAt[n.config.ConfigKind]) < maxConfigAge
}

func (n *Node) activateConfig(table *routes.Table, revision int, value []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision <= n.configRevision {
		return
	}
	n.configRevision, n.storedConfig = revision, value
	n.table.Store(table)
	n.quotas.Configure(n.now(), n.quotaRules(), quotasOf(table))
	close(n.configChange)
	n.configChange = make(chan struct{})
	n.log.Info().Int("config_version", table.Version()).Int("revision", revision).Msg("configuration in force")
}

func (n *Node) quotaRules() limit.QuotaRules {
	s := n.settings()
	return limit.QuotaRules{Window: s.Duration("quotas", "window"), Overshoot: s.Float("quotas", "overshoot"), Slack: s.Float("quotas", "slack")}
}

// quotasOf returns the quotas of a configuration's teams.
func quotasOf(table *routes.Table) []limit.Quota {
	var list []limit.Quota
	for _, team := range table.Teams() {
		if team.Quota.Limited() {
			list = append(list, limit.Quota{Team: team.Name, PerSecond: team.Quota.PerSecond, Burst: team.Quota.Burst})
		}
	}
	return list
}

// currentConfig returns the configuration in force, as stored, and its revision.
func (n *Node) currentConfig() (int, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configRevision, n.storedConfig
}

func (n *Node) configChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configChange
}

// awaitConfig waits for a change of the configuration for at most limit.
func (n *Node) awaitConfig(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-n.configChanged():
	case <-ctx.Done():
	}
}

// applyHubConfig applies a configuration received from the controller.
func (n *Node) applyHubConfig(revision int, value []byte) {
	n.applyConfigObject(store.Object{Kind: n.config.ConfigKind, Name: n.config.ConfigName, Version: revision, Value: value})
}

func (n *Node) applyConfigObject(o store.Object) {
	if o.Name != n.config.ConfigName {
		return
	}
	table, err := n.config.DecodeTable(o)
	if err != nil {
		n.log.Error().Err(err).Int("version", o.Version).Msg("cannot decode configuration; keeping the one in force")
		return
	}
	n.activateConfig(table, o.Version, o.Value)
}

// serverWatcher returns the watcher that updates the view of the backend servers.
func (n *Node) serverWatcher() watcher {
	return watcher{
		kind: n.config.ServerKind,
		onList: func(now time.Time, l store.Listing) {
			entries := make([]backs.Entry, 0, len(l.Items))
			var unreadable []string
			for _, o := range l.Items {
				if e, ok := n.decodeEntry(o); ok {
					entries = append(entries, e)
				} else {
					unreadable = append(unreadable, o.Name)
				}
			}
			n.serverView.Replace(now, entries, unreadable...)
		},
		onChange:  n.serverChanged,
		onCurrent: n.serverView.MarkCurrent,
	}
}

func (n *Node) decodeEntry(o store.Object) (backs.Entry, bool) {
	e, err := n.config.DecodeEntry(o)
	if err != nil {
		n.log.Error().Err(err).Int("version", o.Version).Msg("ignoring invalid server entry")
		return backs.Entry{}, false
	}
	return e, true
}

// handleMissing logs whether a server whose entry is missing stays in use. It is also called when
// another VM reported the removal or omitted the server from its list.
func (n *Node) handleMissing(m backs.Missing) {
	message := "entry missing; server no longer used"
	if m.Kept {
		message = "entry missing; server kept in use"
	} else {
		n.crashTracker.ProcessEnded(n.now(), m.ID)
	}
	n.log.Info().Str("server", m.ID).Msg(message)
}

// handleNotice logs and counts what a server has said about itself, to this VM or to another one.
func (n *Node) handleNotice(c backs.NoticeChange) {
	if c.Leaving {
		n.meter.AddCounter("servers.leaving", 1)
		n.log.Info().Str("server", c.ID).Str("source", string(c.Source)).Msg("server leaves")
		return
	}
	if c.HasRejectLimit || c.NoRejectLimit {
		n.log.Info().Str("server", c.ID).Bool("limited", c.HasRejectLimit).Float64("rejects_per_second", c.RejectLimit).Msg("rejection limit of a server changed")
		return
	}
	n.meter.AddCounter("servers.rests", 1)
	n.log.Info().Str("server", c.ID).Dur("rest", c.Rest).Msg("server asked this VM for rest")
}

// recordCrash logs and counts a server crash that this VM detected during a request. crashes is the
// number of crashes attributed to the request.
func (n *Node) recordCrash(c poison.Crash, crashes int) {
	n.meter.AddCounter("poison.crashes", 1)
	n.log.Info().Str("fingerprint", string(c.Request)).Str("server", c.Server).Int("crashes", crashes).Msg("server crashed while processing a request")
}

// recordBlock logs and counts a request that is now blocked on this VM.
func (n *Node) recordBlock(s poison.Suspect) {
	n.meter.AddCounter("poison.blocked", 1)
	n.log.Warn().Str("fingerprint", string(s.Request)).Int("crashes", s.Crashes).Dur("for", s.BlockedFor).Msg("request blocked")
}

func (n *Node) serverChanged(now time.Time, c store.Change) {
	if c.Deleted {
		n.serverView.Remove(now, c.Object.Name)
		n.log.Info().Str("server", c.Object.Name).Int("version", c.Object.Version).Msg("server removed")
		return
	}
	e, ok := n.decodeEntry(c.Object)
	if !ok {
		n.serverView.MarkUnreadable(c.Object.Name)
		return
	}
	n.serverView.Put(now, e)
	n.log.Info().Str("server", e.ID).Str("address", e.Address).Str("service", e.Service).Bool("draining", e.Draining).
		Int("models", len(e.Models)).Int("version", c.Object.Version).Msg("server changed")
}
