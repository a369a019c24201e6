//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the Metadata of an object of the platform's store.
type metadata struct {
	Name       string
	Revision   int
	Created    int
	Finalizers []string
	Deleting   bool
}

// object is an object of the platform's store.
type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

// change is one entry of the store's history.
type change struct {
	kind     string
	revision int
	event    event
}

// event is a change as a watch returns it.
type event struct {
	Object  object
	Deleted bool
}

// store is a sound stand-in of the platform's store: linearizable, with watches, and with a history that is long enough
// for a run.
type store struct {
	mu       sync.Mutex
	revision int
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// serve serves the store until the listener is closed.
func (s *store) serve(l net.Listener) { _ = http.Serve(l, s) }

// set writes an object as the operator or a server does, whatever its revision.
func (s *store) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) put(kind, name string, spec json.RawMessage) object {
	o, exists := s.objects[kind][name]
	s.revision++
	if !exists {
		o = object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.record(kind, event{Object: o})
	return o
}

func (s *store) delete(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(kind, event{Object: o, Deleted: true})
}

func (s *store) record(kind string, e event) {
	s.history = append(s.history, change{kind, s.revision, e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.serveGet(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "At": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("Watch"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []event{}, s.revision, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, c.event)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = in.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		writeJSON(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		writeJSON(w, http.StatusConflict, old)
	default:
		writeJSON(w, http.StatusOK, s.put(kind, name, in.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
