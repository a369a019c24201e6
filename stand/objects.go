package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/store"
)

// ObjectFaults are the faults that can be switched on Objects.
type ObjectFaults struct {
	// Away are the callers that get no service; "*" is everyone.
	Away []string
	// LoseAnswers is how many of the next changes take effect without an answer.
	LoseAnswers int
}

// Objects stands in for a platform's store of objects: one revision counter,
// conditional changes and long-poll watches over a bounded history. It speaks no
// protocol; an adapter serves it. The zero value works.
type Objects struct {
	mu       sync.Mutex
	revision int
	kinds    map[string]map[string]store.Object
	history  []objectChange
	// floor is the revision up to which history is gone.
	floor   int
	faults  ObjectFaults
	changed chan struct{}
	calls   int
}

type objectChange struct {
	kind   string
	change store.Change
	at     int
}

// SetFaults switches faults.
func (o *Objects) SetFaults(f ObjectFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
	o.wake()
}

// Calls returns how many calls were made.
func (o *Objects) Calls() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// Admit notes a call and reports whether its caller is served.
func (o *Objects) Admit(caller string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	for _, away := range o.faults.Away {
		if away == "*" || away == caller {
			return false
		}
	}
	return true
}

// LoseAnswer reports whether the answer to the change just made is to be lost.
func (o *Objects) LoseAnswer() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.LoseAnswers == 0 {
		return false
	}
	o.faults.LoseAnswers--
	return true
}

// Client returns the calls of a caller in the same process, without a protocol.
func (o *Objects) Client() store.Objects {
	return store.Objects{
		Get: func(_ context.Context, kind, name string) (store.Object, error) { return o.Get(kind, name) },
		Put: func(_ context.Context, kind, name string, ifVersion int, value any) (int, error) {
			data, err := json.Marshal(value)
			if err != nil {
				return 0, fmt.Errorf("encode %s/%s: %w", kind, name, err)
			}
			got, err := o.Put(kind, name, ifVersion, data)
			if err == nil && o.LoseAnswer() {
				return 0, &store.ResponseLostError{}
			}
			return got.Version, err
		},
	}
}

// Compact drops the history: watches from before get a GoneError.
func (o *Objects) Compact() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history, o.floor = nil, o.revision
	o.wake()
}

// List returns the objects of a kind by name.
func (o *Objects) List(kind string) store.Listing {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := store.Listing{Version: o.revision}
	for _, obj := range o.kinds[kind] {
		l.Items = append(l.Items, obj)
	}
	sort.Slice(l.Items, func(i, j int) bool { return l.Items[i].Name < l.Items[j].Name })
	return l
}

// Get returns an object; one that does not exist is a trace.NotFound.
func (o *Objects) Get(kind, name string) (store.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.kinds[kind][name]
	if !ok {
		return store.Object{}, trace.NotFound("%s/%s does not exist", kind, name)
	}
	return obj, nil
}

// Put writes an object when it has version ifVersion, 0 for one that does not
// exist, or any version when ifVersion is negative.
func (o *Objects) Put(kind, name string, ifVersion int, value json.RawMessage) (store.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.kinds[kind][name]
	if ifVersion >= 0 && old.Version != ifVersion {
		return old, &store.ConflictError{Current: old.Version}
	}
	if string(old.Value) == string(value) {
		return old, nil
	}
	o.revision++
	obj := store.Object{Kind: kind, Name: name, Version: o.revision, Value: value}
	if o.kinds == nil {
		o.kinds = make(map[string]map[string]store.Object)
	}
	if o.kinds[kind] == nil {
		o.kinds[kind] = make(map[string]store.Object)
	}
	o.kinds[kind][name] = obj
	o.note(kind, store.Change{Object: obj})
	return obj, nil
}

// Delete removes an object.
func (o *Objects) Delete(kind, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.kinds[kind][name]
	if !ok {
		return
	}
	delete(o.kinds[kind], name)
	o.revision++
	o.note(kind, store.Change{Object: obj, Deleted: true})
}

func (o *Objects) note(kind string, c store.Change) {
	o.history = append(o.history, objectChange{kind: kind, change: c, at: o.revision})
	o.wake()
}

func (o *Objects) wake() {
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// Watch waits up to wait for changes of a kind after a revision.
func (o *Objects) Watch(ctx context.Context, kind string, from int, wait time.Duration) ([]store.Change, int, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		list, at, changed, err := o.since(kind, from)
		if err != nil || len(list) > 0 {
			return list, at, err
		}
		select {
		case <-ctx.Done():
			return nil, at, nil
		case <-changed:
		}
	}
}

func (o *Objects) since(kind string, from int) ([]store.Change, int, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if from < o.floor {
		return nil, from, nil, &store.GoneError{}
	}
	var list []store.Change
	for _, h := range o.history {
		if h.kind == kind && h.at > from {
			list = append(list, h.change)
		}
	}
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return list, o.revision, o.changed, nil
}
