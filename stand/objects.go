package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/store"
)

// ObjectStoreFaults are the faults that can be injected into an ObjectStore.
type ObjectStoreFaults struct {
	// UnavailableTo lists the callers whose calls are rejected; "*" rejects all callers.
	UnavailableTo []string
	// LostResponses is how many of the next changes are applied without a response.
	LostResponses int
}

// ObjectStore is a stand-in for the platform's object store: one revision counter,
// conditional changes and long-poll watches over a history. It implements no wire
// protocol; another package exposes it over HTTP. The zero value is ready for use.
//
// What it returns has versions (see store.VersionOf). Conditions and watches name versions
// too, but as on the platform only their revisions count.
type ObjectStore struct {
	mu       sync.Mutex
	era      int
	revision int
	// objects holds each object with the revision of its last change as its version.
	objects map[string]map[string]store.Object
	history []objectChange
	// compactedRevision is the last revision that is no longer in history.
	compactedRevision int
	faults            ObjectStoreFaults
	changed           chan struct{}
	calls             int
}

// Copy is a copy of what an ObjectStore held at some revision.
type Copy struct {
	revision int
	objects  map[string]map[string]store.Object
}

type objectChange struct {
	kind     string
	change   store.Change
	revision int
}

// SetFaults replaces the faults.
func (o *ObjectStore) SetFaults(f ObjectStoreFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
	o.notifyWatches()
}

// Calls returns the number of calls so far.
func (o *ObjectStore) Calls() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// Admit counts a call and reports whether the caller is served.
func (o *ObjectStore) Admit(caller string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	for _, unavailableTo := range o.faults.UnavailableTo {
		if unavailableTo == "*" || unavailableTo == caller {
			return false
		}
	}
	return true
}

// DropResponse reports whether the response to the last change is to be dropped.
func (o *ObjectStore) DropResponse() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.LostResponses == 0 {
		return false
	}
	o.faults.LostResponses--
	return true
}

// Client returns a store client for callers in the same process, without a wire
// protocol. A write that expected a version of an earlier era may have taken effect, as its revision may have
// been given out again, but counts as one whose response was lost.
func (o *ObjectStore) Client() store.Objects {
	return store.Objects{
		Get: func(_ context.Context, kind, name string) (store.Object, error) { return o.Get(kind, name) },
		Put: func(_ context.Context, kind, name string, ifVersion int, value any) (int, error) {
			data, err := json.Marshal(value)
			if err != nil {
				return 0, fmt.Errorf("encode %s/%s: %w", kind, name, err)
			}
			got, err := o.Put(kind, name, ifVersion, data)
			era, _ := store.SplitVersion(got.Version)
			expectedEra, _ := store.SplitVersion(ifVersion)
			if err == nil && (o.DropResponse() || ifVersion > 0 && era != expectedEra) {
				return 0, &store.ResponseLostError{}
			}
			return got.Version, err
		},
	}
}

// Compact discards the history. Watches from older revisions get a GoneError.
func (o *ObjectStore) Compact() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history, o.compactedRevision = nil, o.revision
	o.notifyWatches()
}

// Copy returns a copy of what the store holds.
func (o *ObjectStore) Copy() Copy {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Copy{revision: o.revision, objects: cloneObjects(o.objects)}
}

// Restore makes the store come back from a copy. What was written since is lost, the era rises by
// one, and the revisions after that of the copy are given out again. No history is left: watches from
// any other revision than that of the copy get a GoneError, until the store gives it out again.
func (o *ObjectStore) Restore(c Copy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.era++
	o.revision, o.objects = c.revision, cloneObjects(c.objects)
	o.history, o.compactedRevision = nil, c.revision
	o.notifyWatches()
}

// Era returns how often the store came back from a copy.
func (o *ObjectStore) Era() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.era
}

func cloneObjects(objects map[string]map[string]store.Object) map[string]map[string]store.Object {
	clone := make(map[string]map[string]store.Object, len(objects))
	for kind, byName := range objects {
		clone[kind] = maps.Clone(byName)
	}
	return clone
}

// versioned returns an object with its version in the present era. o.mu must be held.
func (o *ObjectStore) versioned(obj store.Object) store.Object {
	obj.Version = store.VersionOf(o.era, obj.Version)
	return obj
}

// List returns the objects of a kind, sorted by name.
func (o *ObjectStore) List(kind string) store.Listing {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := store.Listing{Version: store.VersionOf(o.era, o.revision)}
	for _, obj := range o.objects[kind] {
		l.Items = append(l.Items, o.versioned(obj))
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Name < l.Items[j].Name })
	return l
}

// Get returns an object, or a trace.NotFound error if it does not exist.
func (o *ObjectStore) Get(kind, name string) (store.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.objects[kind][name]
	if !ok {
		return store.Object{}, trace.NotFound("%s/%s does not exist", kind, name)
	}
	return o.versioned(obj), nil
}

// Put writes an object if its current revision is that of ifVersion. An object that does
// not exist has version 0; a negative ifVersion matches any version.
func (o *ObjectStore) Put(kind, name string, ifVersion int, value json.RawMessage) (store.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old, exists := o.objects[kind][name]
	if _, revision := store.SplitVersion(ifVersion); ifVersion >= 0 && old.Version != revision {
		if exists {
			old = o.versioned(old)
		}
		return old, &store.ConflictError{Current: old.Version}
	}
	if string(old.Value) == string(value) {
		return o.versioned(old), nil
	}
	o.revision++
	obj := store.Object{Kind: kind, Name: name, Version: o.revision, Value: value}
	if o.objects == nil {
		o.objects = make(map[string]map[string]store.Object)
	}
	if o.objects[kind] == nil {
		o.objects[kind] = make(map[string]store.Object)
	}
	o.objects[kind][name] = obj
	o.recordChange(kind, store.Change{Object: obj})
	return o.versioned(obj), nil
}

// Delete removes an object.
func (o *ObjectStore) Delete(kind, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.objects[kind][name]
	if !ok {
		return
	}
	delete(o.objects[kind], name)
	o.revision++
	o.recordChange(kind, store.Change{Object: obj, Deleted: true})
}

func (o *ObjectStore) recordChange(kind string, c store.Change) {
	o.history = append(o.history, objectChange{kind: kind, change: c, revision: o.revision})
	o.notifyWatches()
}

func (o *ObjectStore) notifyWatches() {
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// Watch returns the changes of a kind after the revision of a version, and the latest version.
// It waits up to timeout for the first change.
func (o *ObjectStore) Watch(ctx context.Context, kind string, version int, timeout time.Duration) ([]store.Change, int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, revision := store.SplitVersion(version)
	for {
		changes, latest, changed, err := o.changesAfter(kind, revision)
		if err != nil || len(changes) > 0 {
			return changes, latest, err
		}
		select {
		case <-ctx.Done():
			return nil, latest, nil
		case <-changed:
		}
	}
}

func (o *ObjectStore) changesAfter(kind string, revision int) ([]store.Change, int, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if revision < o.compactedRevision || revision > o.revision {
		return nil, store.VersionOf(o.era, o.revision), nil, &store.GoneError{}
	}
	var changes []store.Change
	for _, h := range o.history {
		if h.kind == kind && h.revision > revision {
			changes = append(changes, store.Change{Object: o.versioned(h.change.Object), Deleted: h.change.Deleted})
		}
	}
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return changes, store.VersionOf(o.era, o.revision), o.changed, nil
}
