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

// Prefixes of the names of documents.
const (
	profilePrefix = profs.ObjectKind + "/"
	serverPrefix  = KindServer + "/"
)

// configs is the configuration in force: profiles and backend servers, each
// document with its version. It only moves forward.
type configs struct {
	profiles *profs.View

	mu      sync.Mutex
	servers map[string]serverDocument
}

// serverDocument is a backend server's entry; its text is empty once it was
// deleted.
type serverDocument struct {
	version int
	text    string
}

// adoptServer puts an entry in force when its version is higher.
func (c *configs) adoptServer(name string, version int, text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.servers[name].version {
		return false
	}
	if c.servers == nil {
		c.servers = make(map[string]serverDocument)
	}
	c.servers[name] = serverDocument{version: version, text: text}
	return true
}

// removeServers deletes the entries that a listing at a version does not have.
func (c *configs) removeServers(version int, listed map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, doc := range c.servers {
		if !listed[name] && doc.version < version {
			c.servers[name] = serverDocument{version: version}
		}
	}
}

// Servers returns the entries that are not deleted and can be read.
func (c *configs) Servers() []wire.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var docs []wire.Server
	for _, d := range c.servers {
		var doc wire.Server
		if d.text != "" && json.Unmarshal([]byte(d.text), &doc) == nil {
			docs = append(docs, doc)
		}
	}
	return docs
}

// Versions returns the versions of all documents, sorted by name.
func (c *configs) Versions() []wire.ProfileVersion {
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

// Hash returns a digest of the versions: two VMs with the same have the same
// configuration in force.
func (c *configs) Hash() int {
	sum := uint64(0)
	for _, v := range c.Versions() {
		sum += xxhash.Sum64String(v.Name + "@" + strconv.Itoa(v.Version))
	}
	return int(sum >> 1)
}

// Compare returns the names that are newer here than in a list of versions, and
// those that are older.
func (c *configs) Compare(versions []wire.ProfileVersion) (newer, older []string) {
	theirs := make(map[string]int, len(versions))
	for _, v := range versions {
		theirs[v.Name] = v.Version
	}
	for _, v := range c.Versions() {
		if v.Version > theirs[v.Name] {
			newer = append(newer, v.Name)
		}
		if v.Version >= theirs[v.Name] {
			delete(theirs, v.Name)
		}
	}
	for name := range theirs {
		older = append(older, name)
	}
	slices.Sort(older)
	return newer, older
}

// Document returns a document for a peer.
func (c *configs) Document(name string) (*wire.Push, bool) {
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
	return &wire.Push{Name: name, Version: d.version, Document: d.text}, known
}

// adopt takes in a document from the platform or a peer; a newer one is passed
// on.
func (d *Daemon) adopt(name string, version int, text string) {
	adopted := false
	if profile, ok := strings.CutPrefix(name, profilePrefix); ok {
		adopted = d.adoptProfile(profile, version, json.RawMessage(text))
	} else if server, ok := strings.CutPrefix(name, serverPrefix); ok {
		adopted = d.configs.adoptServer(server, version, text)
		if adopted {
			d.fleet.SetServers(d.configs.Servers())
		}
	}
	if adopted {
		d.peers.spread(d.base, name)
	}
}

// caughtUp notes that a peer has the same configuration as this VM, which then
// may serve though it has not reached the platform.
func (d *Daemon) caughtUp(same bool) {
	if same && len(d.configs.Versions()) > 0 {
		d.caughtProfiles.Store(true)
		d.caughtServers.Store(true)
	}
}

// whileWatching runs a watch while this VM is one of the few of its domain that
// hold it, and until it has caught up.
func (d *Daemon) whileWatching(ctx context.Context, job string, caught func() bool, watch func(context.Context)) {
	for ctx.Err() == nil {
		if caught() && !d.peers.elected(job, watchers) {
			pause.For(ctx, watchCheck)
			continue
		}
		watching, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch(watching)
		}()
		for watching.Err() == nil && (!caught() || d.peers.elected(job, watchers)) {
			pause.For(watching, watchCheck)
		}
		cancel()
		<-done
	}
}
