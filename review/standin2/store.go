//go:build review

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is an object of the platform's store.
type storeObject struct {
	Metadata struct {
		Name     string `json:"Name"`
		Revision int    `json:"Revision,omitempty"`
	} `json:"Metadata"`
	Spec   json.RawMessage `json:"Spec,omitempty"`
	Status json.RawMessage `json:"Status,omitempty"`
}

// storeEvent is a change of an object.
type storeEvent struct {
	Object   storeObject `json:"Object"`
	Deleted  bool        `json:"Deleted"`
	kind     string
	revision int
}

// objectStore is a sound stand-in for the platform's store.
type objectStore struct {
	mu       sync.Mutex
	revision int
	objects  map[string]map[string]storeObject
	history  []storeEvent
	changed  chan struct{}
}

func newObjectStore() *objectStore {
	return &objectStore{objects: make(map[string]map[string]storeObject), changed: make(chan struct{})}
}

// set writes an object unconditionally, as servers and the operator do.
func (s *objectStore) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

func (s *objectStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(storeEvent{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

func (s *objectStore) put(kind, name string, spec json.RawMessage) storeObject {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storeObject)
	}
	o := s.objects[kind][name]
	s.revision++
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	s.objects[kind][name] = o
	s.record(storeEvent{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *objectStore) record(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the wire protocol of the store.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost, http.MethodPut:
		s.write(w, r, kind, name, body)
	default:
		http.Error(w, "not supported", http.StatusMethodNotAllowed)
	}
}

func (s *objectStore) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	if name != "" {
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			http.Error(w, "not found", http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	if watch := r.URL.Query().Get("Watch"); watch != "" {
		s.watch(w, r, kind, watch)
		return
	}
	s.mu.Lock()
	items := []storeObject{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, k int) bool { return items[i].Metadata.Name < items[k].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "At": at})
}

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind, from string) {
	since, _ := strconv.Atoi(from)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events, at, changed := []storeEvent{}, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *objectStore) write(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var o storeObject
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	current, exists := s.objects[kind][name]
	conflict := r.Method == http.MethodPost && exists || o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision
	if !conflict && (r.Method == http.MethodPost || exists) {
		current = s.put(kind, name, o.Spec)
		exists = true
	}
	s.mu.Unlock()
	switch {
	case conflict:
		reply(w, http.StatusConflict, current)
	case !exists:
		http.Error(w, "not found", http.StatusNotFound)
	default:
		reply(w, http.StatusOK, current)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
