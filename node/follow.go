package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
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
	// onRead is called before what a response of the store says is applied, and onCurrent after that with the time at
	// which the call began: the response has at least the changes up to then. It may have been on the way for long.
	onRead, onCurrent func(at time.Time)
	// onPosition is called with the version of the store whose changes have been applied, 0 while the kind is not followed.
	onPosition func(version int)
}

// follow lists a kind and watches it until ctx ends, except while the controller sends this VM the
// changes.
func (n *Node) follow(ctx context.Context, w watcher) {
	synced := false
	version := 0
	defer w.onPosition(0)
	startedAt := n.now()
	var lastCallAt time.Time
	for ctx.Err() == nil {
		termStarted := n.peers.TermStarted()
		if n.leavesStoreToHub(n.now(), startedAt) {
			synced = false
			w.onPosition(0)
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
				n.log.Info().Str("kind", w.kind).EmbedObject(loggedVersion(version)).Msg("store reachable again")
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if store.IsGone(err) {
			synced = false
			w.onPosition(0)
			n.log.Info().Str("kind", w.kind).EmbedObject(loggedVersion(version)).Msg("watch version expired; listing again")
			continue
		}
		n.config.CloseIdleStoreConns()
		failures := n.recordFailure(w.kind)
		if failures < outageFailures {
			n.log.Info().Str("kind", w.kind).EmbedObject(loggedVersion(version)).Err(err).Msg("store call failed; retrying")
			pause.For(ctx, rand.N(maxFirstRetryDelay))
			continue
		}
		if failures == outageFailures {
			n.log.Warn().Str("kind", w.kind).EmbedObject(loggedVersion(version)).Err(err).Msg("store unreachable")
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
	asked := n.now()
	listing, err := n.config.Objects.List(ctx, w.kind)
	if err != nil {
		return 0, err
	}
	// A watch in a later era than that of its position fails, so that lists show each new era first.
	n.recordEra(w.kind, listing.Version)
	now := n.now()
	n.recordConfirmation(now, w.kind)
	w.onRead(now)
	w.onList(now, listing)
	w.onCurrent(asked)
	w.onPosition(listing.Version)
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
	asked := n.now()
	changes, next, err := n.config.Objects.Watch(ctx, w.kind, version, wait)
	if err != nil {
		return version, err
	}
	now := n.now()
	n.recordConfirmation(now, w.kind)
	w.onRead(now)
	for _, c := range changes {
		w.onChange(now, c)
	}
	w.onCurrent(asked)
	w.onPosition(next)
	if len(changes) > 0 {
		pause.For(ctx, changeBatchDelay+time.Duration(n.peers.VMs())*changeBatchDelayPerVM)
	}
	return next, nil
}
