package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Prefixes of document names.
const (
	profilePrefix = profs.ObjectKind + "/"
	serverPrefix  = KindServer + "/"
)

// activeConfig is the configuration in force: profiles and backend servers,
// each document with its version. Versions only increase.
type activeConfig struct {
	profiles *profs.View

	mu      sync.Mutex
	servers map[string]serverDocument
}

// serverDocument is a backend server's entry. Its document is empty once the
// entry was deleted.
type serverDocument struct {
	version  int
	document string
}

// applyServer replaces an entry when the new version is higher.
func (c *activeConfig) applyServer(name string, version int, text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.servers[name].version {
		return false
	}
	if c.servers == nil {
		c.servers = make(map[string]serverDocument)
	}
	c.servers[name] = serverDocument{version: version, document: text}
	return true
}

// removeServers deletes the entries that are missing from a listing of the
// given version.
func (c *activeConfig) removeServers(version int, listed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, doc := range c.servers {
		if !listed[name] && doc.version < version {
			c.servers[name] = serverDocument{version: version}
		}
	}
}

// Servers returns the entries that are not deleted and can be decoded.
func (c *activeConfig) Servers() []wire.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var docs []wire.Server
	for _, d := range c.servers {
		var doc wire.Server
		if d.document != "" && json.Unmarshal([]byte(d.document), &doc) == nil {
			docs = append(docs, doc)
		}
	}
	return docs
}

// Versions returns the versions of all documents, sorted by name.
func (c *activeConfig) Versions() []wire.ProfileVersion {
	var all []wire.ProfileVersion
	for _, v := range c.profiles.Versions() {
		all = append(all, wire.ProfileVersion{Name: profilePrefix + v.Name, Version: v.Version})
	}
	c.mu.Lock()
	for name, d := range c.servers {
		all = append(all, wire.ProfileVersion{Name: serverPrefix + name, Version: d.version})
	}
	c.mu.Unlock()
	slices.SortFunc(all, func(a, b wire.ProfileVersion) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Hash returns a digest of the versions. VMs with equal digests have the same
// configuration in force.
func (c *activeConfig) Hash() int {
	sum := uint64(0)
	for _, v := range c.Versions() {
		sum += xxhash.Sum64String(v.Name + "@" + strconv.Itoa(v.Version))
	}
	return int(sum >> 1)
}

// Compare returns the names whose local version is higher than in a list of
// versions, and those whose local version is lower.
func (c *activeConfig) Compare(versions []wire.ProfileVersion) (newer, older []string) {
	peerVersions := make(map[string]int, len(versions))
	for _, v := range versions {
		peerVersions[v.Name] = v.Version
	}
	for _, v := range c.Versions() {
		if v.Version > peerVersions[v.Name] {
			newer = append(newer, v.Name)
		}
		if v.Version >= peerVersions[v.Name] {
			delete(peerVersions, v.Name)
		}
	}
	for name := range peerVersions {
		older = append(older, name)
	}
	slices.Sort(older)
	return newer, older
}

// Document returns a document as a message to a peer.
func (c *activeConfig) Document(name string) (*wire.Push, bool) {
	if profile, ok := strings.CutPrefix(name, profilePrefix); ok {
		p, known := c.profiles.Get(profile)
		if !known {
			return nil, false
		}
		text, err := json.Marshal(p.Document())
		if err != nil {
			return nil, false
		}
		return &wire.Push{Name: name, Version: p.Version(), Document: string(text)}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d, known := c.servers[strings.TrimPrefix(name, serverPrefix)]
	return &wire.Push{Name: name, Version: d.version, Document: d.document}, known
}

// applyDocument applies a document from the platform or a peer. A newer
// document is forwarded to peers.
func (d *Daemon) applyDocument(name string, version int, text string) {
	applied := false
	if profile, ok := strings.CutPrefix(name, profilePrefix); ok {
		applied = d.applyProfile(profile, version, json.RawMessage(text))
	} else if server, ok := strings.CutPrefix(name, serverPrefix); ok {
		applied = d.activeConfig.applyServer(server, version, text)
		if applied {
			d.fleet.SetServers(d.activeConfig.Servers())
		}
	}
	if applied {
		d.peers.broadcast(d.baseCtx, name)
	}
}

// markSynced records that a peer has the same configuration as this VM, which
// may then serve without having reached the platform.
func (d *Daemon) markSynced(sameConfig bool) {
	if sameConfig && len(d.activeConfig.Versions()) > 0 {
		d.profilesSynced.Store(true)
		d.serversSynced.Store(true)
	}
}

// watchWhileElected runs a watch until this VM is synced, and after that while
// it is one of the elected VMs of its failure domain.
func (d *Daemon) watchWhileElected(ctx context.Context, job string, synced func() bool, watch func(context.Context)) {
	for ctx.Err() == nil {
		if synced() && !d.peers.elected(job, platformWatchers) {
			pause.For(ctx, watchElectionInterval)
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch(watchCtx)
		}()
		for watchCtx.Err() == nil && (!synced() || d.peers.elected(job, platformWatchers)) {
			pause.For(watchCtx, watchElectionInterval)
		}
		cancel()
		<-done
	}
}
