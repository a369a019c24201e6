//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt  = "X-Hibiscuscart-Attempt-Id"
	headerExpect   = "X-Hibiscuscart-Expect-Instance"
	headerDeadline = "X-Hibiscuscart-Deadline-Ms"
	headerStamp    = "X-Hibiscuscart-Server-Stamp"
	headerInstance = "X-Hibiscuscart-Instance-Id"
	headerLoad     = "X-Hibiscuscart-Instance-Load"
	headerNotRun   = "X-Hibiscuscart-Not-Executed"
	headerModel    = "X-Hibiscuscart-Model"
	heartbeat      = 1200 * time.Millisecond
)

// answer is what a server answers to a request: events of a stream, or one body after a time.
type answer struct {
	events int
	gap    time.Duration
}

// modelServer is a sound stand-in for a model server.
type modelServer struct {
	d             *deployment
	id, zone, svc string
	address       string
	slots         int
	models        []string
	running       atomic.Int64

	mu       sync.Mutex
	sequence int
	beats    int
	draining bool
	gone     chan struct{}
	http     *http.Server
}

func (d *deployment) startServer(id, svc, zone string, slots int, models []string) *modelServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &modelServer{d: d, id: id, zone: zone, svc: svc, address: l.Addr().String(), slots: slots, models: models, gone: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.beat()
	go func() {
		for {
			select {
			case <-s.gone:
				return
			case <-time.After(heartbeat):
				s.beat()
			}
		}
	}()
	return s
}

func (s *modelServer) held() []map[string]any {
	list := []map[string]any{}
	for _, m := range s.models {
		list = append(list, map[string]any{"Name": m, "Version": 1, "Adapters": []string{}})
	}
	return list
}

func (s *modelServer) beat() {
	s.mu.Lock()
	s.beats++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": s.svc, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots, "State": state,
		"ColdRemainingMs": 0, "Sequence": s.beats, "Models": s.held(),
	}
	s.mu.Unlock()
	s.d.store.set("servers", s.id, entry)
}

// ServeHTTP implements http.Handler.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(headerInstance, s.id)
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	if expected := r.Header.Get(headerExpect); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{
			"Stage": "unified", "Models": s.held(), "Busy": false, "Sequence": s.sequence, "Queued": 0, "Active": s.running.Load(),
			"KvUsed": 0, "KvTotal": 129058, "Handles": 0, "Pending": []string{}, "Available": map[string]any{"Resident": s.models, "OnDisk": s.models},
		})
	case "/order":
		s.order(w, body)
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	default:
		s.run(w, r)
	}
}

// order answers an order. All models are there already.
func (s *modelServer) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expect                            *int
		FencingToken                      int
	}
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.d.log("server %s order %s %s/%s from %s epoch %d", s.id, o.Operation, o.Model, o.Adapter, o.Holder, o.FencingToken)
	w.WriteHeader(http.StatusConflict)
}

// run runs a request and records how the run ended.
func (s *modelServer) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	s.running.Add(1)
	defer s.running.Add(-1)
	a := s.d.answerTo(id)
	s.d.began(id)
	s.d.log("server %s runs %s: %d events, %s of %s ms left", s.id, id, a.events, r.Method, r.Header.Get(headerDeadline))
	w.Header().Set(headerStamp, s.id+"."+id)
	if a.events == 0 {
		time.Sleep(a.gap)
		body := "done " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		s.d.ended(id, "complete")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for i := 1; i <= a.events; i++ {
		select {
		case <-r.Context().Done():
			s.d.log("server %s drops %s after %d of %d events, its connection was closed", s.id, id, i-1, a.events)
			s.d.ended(id, "connection closed by the caller")
			return
		case <-time.After(a.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, id); err != nil || flush.Flush() != nil {
			s.d.ended(id, "write failed")
			return
		}
	}
	s.d.log("server %s ends %s", s.id, id)
	s.d.ended(id, "complete")
}
