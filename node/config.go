package node

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/store"
)

var errEmptyConfig = errors.New("configuration without version, routes and services")

// configWatcher returns the watcher that applies the newest configuration.
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
		onRead:     func(time.Time) {},
		onCurrent:  func(time.Time) {},
		onPosition: func(int) {},
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

// showConfig puts a configuration that the store or a hub shows in force, unless that in force is newer.
func (n *Node) showConfig(table *routes.Table, shown inForce) {
	n.mu.Lock()
	defer n.mu.Unlock()
	replaced := n.inForce.replacedBy(shown)
	n.inForce = n.inForce.after(shown)
	if !replaced {
		return
	}
	n.gateway.ObserveTable(table)
	n.table.Store(table)
	n.quotas.Configure(n.now(), n.quotaRules(), quotasOf(table))
	close(n.configChange)
	n.configChange = make(chan struct{})
	n.checkLimits(table.Limits())
	line := n.log.Info().Int("config_version", shown.version).Int("revision", shown.number)
	if shown.storeVersion > 0 {
		// A hub's frame does not tell the era.
		era, _ := store.SplitVersion(shown.storeVersion)
		line = line.Int("era", era)
	}
	line.Msg("configuration in force")
}

// showAgain notes that the store or a hub shows the configuration in force once more, as each new link to a hub does,
// and reports whether that is so. Decoding thousands of routes takes a small VM tenths of a second.
func (n *Node) showAgain(value []byte, shown inForce) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inForce.value == nil || !bytes.Equal(value, n.inForce.value) {
		return false
	}
	shown.version, shown.value = n.inForce.version, value
	n.inForce = n.inForce.after(shown)
	return true
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

// currentConfig returns the configuration in force, as stored, and the number of frames with it.
func (n *Node) currentConfig() (int, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inForce.number, n.inForce.value
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

// applyHubConfig applies a configuration received from the hub in a frame with a number.
func (n *Node) applyHubConfig(number int, value []byte) {
	o := store.Object{Kind: n.config.ConfigKind, Name: n.config.ConfigName, Version: number, Value: value}
	n.applyConfig(o, inForce{number: number})
}

// applyConfigObject applies a configuration that the store shows.
func (n *Node) applyConfigObject(o store.Object) {
	if o.Name == n.config.ConfigName {
		_, revision := store.SplitVersion(o.Version)
		n.applyConfig(o, inForce{storeVersion: o.Version, number: revision})
	}
}

// applyConfig decodes and applies a configuration, of which shown has what the object does not tell.
func (n *Node) applyConfig(o store.Object, shown inForce) {
	if n.showAgain(o.Value, shown) {
		return
	}
	table, err := n.config.DecodeTable(o)
	if err == nil && table.Empty() {
		err = errEmptyConfig
	}
	if err != nil {
		n.log.Error().Err(err).Int("version", shown.number).Msg("cannot decode configuration; keeping the one in force")
		return
	}
	shown.version, shown.value = table.Version(), o.Value
	n.showConfig(table, shown)
}
