//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	headerModel = "X-Hibiscuscart-Model"
	// pingIntervals is after how many intervals of silence the store removes a server's entry.
	pingIntervals = 3
	// downFor is how long a server is down that has crashed.
	downFor = 4500 * time.Millisecond
	// reportLag is how old the values of a report are.
	reportLag = 100 * time.Millisecond
)

// modelSpec is a model of the manifest.
type modelSpec struct {
	weightsMB, adapterMB float64
	load, diskLoad       time.Duration
}

// order is the body of an order, and the instance that it expects.
type order struct {
	Operation, Model, Adapter, Holder string
	Expect, FencingToken              *int
	expectInstance                    string
}

func (o order) String() string {
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	return fmt.Sprintf("%s %s, Expect %d", o.Operation, name, *o.Expect)
}

// heldModel is a model that a server holds: its adapters in order of their loading, and whether it is loading itself.
type heldModel struct {
	adapters []string
	loading  bool
}

// lifetime is one run of a server's process. A new one holds nothing, and its counts start anew.
type lifetime struct {
	born, sequence int64
	models         map[string]*heldModel
	// busy is set while a model is loaded or unloaded.
	busy bool
	// reports are the states that the server has had, the last one at the end.
	reports  []pastReport
	listener net.Listener
	server   *http.Server
	ctx      context.Context
	end      context.CancelFunc
}

// pastReport is a state of a server from a time on, as GET /report tells it.
type pastReport struct {
	at   time.Time
	body []byte
}

// engineServer is a stand-in of a model server. It may be down, and starts again under the id and address that it had.
type engineServer struct {
	id, service, zone string
	slots             int
	weightsMB         float64
	adapterSlots      int
	specs             map[string]modelSpec
	// events returns the number of events of an answer, which are eventTime apart.
	events    func() int
	eventTime time.Duration
	// ended is called at the end of each run, with whether the answer was whole. Optional.
	ended func(id string, whole bool)
	// late reports whether an order gets no answer, and after which time it is carried out. Optional.
	late   func(s *engineServer, o order) (delay time.Duration, late bool)
	store  *store
	record *record

	mu      sync.Mutex
	address string
	// life is nil while the server is down. disk lists the models that it has held before.
	life     *lifetime
	disk     map[string]bool
	pings    int
	lastPing time.Time
	// overLimit counts the orders that were carried out beyond what the server holds. Each one ends it.
	overLimit int
}

// start starts the server with models that it holds from the start.
func (s *engineServer) start(models ...string) {
	l, err := net.Listen("tcp", s.listenAddress())
	if err != nil {
		couldNotRun("listen: %v", err)
	}
	ctx, end := context.WithCancel(context.Background())
	life := &lifetime{born: time.Now().UnixMilli(), models: make(map[string]*heldModel), listener: l, ctx: ctx, end: end}
	life.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(life, w, r) }), IdleTimeout: idleTimeout}
	s.mu.Lock()
	s.address, s.life = l.Addr().String(), life
	if s.disk == nil {
		s.disk = make(map[string]bool)
	}
	for _, m := range models {
		life.models[m], s.disk[m] = &heldModel{}, true
	}
	s.changed(life)
	s.mu.Unlock()
	go func() { _ = life.server.Serve(l) }()
	go func() {
		for ctx.Err() == nil {
			s.ping(life)
			select {
			case <-ctx.Done():
			case <-time.After(serverHeartbeat):
			}
		}
	}()
}

func (s *engineServer) listenAddress() string {
	if s.address != "" {
		return s.address
	}
	return freeAddresses(1)[0]
}

// ping writes the server's entry to the store.
func (s *engineServer) ping(life *lifetime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != life {
		return
	}
	s.pings++
	s.lastPing = time.Now()
	s.store.set("servers", s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots, "State": "ready",
		"ColdRemainingMs": 0, "Stage": "unified", "Models": life.loaded(), "Sequence": s.pings, "born": life.born,
	})
}

// crash ends the server's process. The store removes its entry after three ping intervals of silence.
func (s *engineServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLife()
}

// restart starts the server again, unless it is up, under its id and with nothing.
func (s *engineServer) restart() {
	s.mu.Lock()
	up := s.life != nil
	s.mu.Unlock()
	if !up {
		s.record.line("server %s starts again", s.id)
		s.start()
	}
}

// endLife is crash with s.mu held.
func (s *engineServer) endLife() {
	life := s.life
	if life == nil {
		return
	}
	s.life = nil
	life.end()
	go func() { _ = life.server.Close() }()
	silentSince := s.lastPing
	time.AfterFunc(time.Until(silentSince.Add(pingIntervals*serverHeartbeat)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.lastPing.Equal(silentSince) {
			s.store.remove("servers", s.id)
			s.record.line("the store removes the entry of %s", s.id)
		}
	})
}

// loaded returns the models that are loaded, as the entry and the report list them.
func (life *lifetime) loaded() []map[string]any {
	list := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(life.models)) {
		if m := life.models[name]; !m.loading {
			list = append(list, map[string]any{"Name": name, "Version": 1, "Adapters": append([]string{}, m.adapters...)})
		}
	}
	return list
}

// changed keeps the present state for reports. s.mu is held.
func (s *engineServer) changed(life *lifetime) {
	body, err := json.Marshal(map[string]any{
		"Stage": "unified", "Models": life.loaded(), "Busy": life.busy, "Sequence": life.sequence, "Queued": 0, "Active": 0,
		"KvUsed": 0, "KvTotal": 167040, "Handles": 0, "Pending": []string{}, "born": life.born,
		"Available": map[string]any{"Resident": []string{}, "OnDisk": slices.Sorted(maps.Keys(s.disk))},
	})
	if err != nil {
		panic(err)
	}
	life.reports = append(life.reports, pastReport{time.Now(), body})
}

// used returns the memory for weights and adapters and the adapter slots that are taken.
func (s *engineServer) used(life *lifetime) (mb float64, slots int) {
	for name, m := range life.models {
		mb += s.specs[name].weightsMB + s.specs[name].adapterMB*float64(len(m.adapters))
		slots += len(m.adapters)
	}
	return mb, slots
}

func (s *engineServer) serve(life *lifetime, w http.ResponseWriter, r *http.Request) {
	expected := r.Header.Get(headerExpect)
	switch {
	case expected != "" && expected != s.id:
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.Header().Set(headerInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/healthz":
		w.Header().Set(headerInstance, s.id)
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/report":
		s.serveReport(life, w)
	case r.URL.Path == "/order":
		s.serveOrder(w, r)
	default:
		s.serveRequest(life, w, r)
	}
}

func (s *engineServer) serveReport(life *lifetime, w http.ResponseWriter) {
	s.mu.Lock()
	body := life.reports[0].body
	for _, p := range life.reports {
		if time.Since(p.at) >= reportLag {
			body = p.body
		}
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *engineServer) serveOrder(w http.ResponseWriter, r *http.Request) {
	o := order{expectInstance: r.Header.Get(headerExpect)}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == nil || o.Expect == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.late != nil {
		if delay, late := s.late(s, o); late {
			s.record.line("order to %s gets no answer, and is carried out in %.1f s: %v", s.id, delay.Seconds(), o)
			time.AfterFunc(delay, func() { s.record.line("late order to %s: %v: %d", s.id, o, s.carryOut(o)) })
			<-r.Context().Done()
			return
		}
	}
	status := s.carryOut(o)
	s.record.line("order to %s: %v: %d", s.id, o, status)
	w.WriteHeader(status)
}

// carryOut carries an order out at the process that runs now, and returns its answer, 0 if none runs.
func (s *engineServer) carryOut(o order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	life := s.life
	if life == nil {
		return 0
	}
	if o.expectInstance != "" && o.expectInstance != s.id {
		return http.StatusMisdirectedRequest
	}
	if int64(*o.Expect) != life.sequence || life.busy && o.Adapter == "" {
		return http.StatusConflict
	}
	switch {
	case o.Operation == "model_load" && o.Adapter == "":
		return s.loadModel(life, o.Model)
	case o.Operation == "model_load":
		return s.loadAdapter(life, o.Model, o.Adapter)
	case o.Operation == "model_unload" && o.Adapter != "":
		return s.unloadAdapter(life, o.Model, o.Adapter)
	case o.Operation == "model_unload":
		return s.unloadModel(life, o.Model)
	}
	return http.StatusBadRequest
}

func (s *engineServer) loadModel(life *lifetime, name string) int {
	if life.models[name] != nil {
		return http.StatusOK
	}
	life.sequence++
	life.models[name] = &heldModel{loading: true}
	if mb, _ := s.used(life); mb > s.weightsMB {
		s.exceeded("model %s: %.0f MB of %.0f", name, mb, s.weightsMB)
		return 0
	}
	life.busy = true
	s.changed(life)
	took := s.specs[name].load
	if s.disk[name] {
		took = s.specs[name].diskLoad
	}
	time.AfterFunc(took, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		life.models[name].loading, life.busy, s.disk[name] = false, false, true
		s.changed(life)
	})
	return http.StatusAccepted
}

func (s *engineServer) unloadModel(life *lifetime, name string) int {
	if life.models[name] == nil {
		return http.StatusOK
	}
	life.sequence++
	delete(life.models, name)
	s.changed(life)
	return http.StatusAccepted
}

func (s *engineServer) loadAdapter(life *lifetime, model, adapter string) int {
	m := life.models[model]
	if m == nil || m.loading {
		return http.StatusBadRequest
	}
	if slices.Contains(m.adapters, adapter) {
		return http.StatusOK
	}
	life.sequence++
	m.adapters = append(m.adapters, adapter)
	mb, slots := s.used(life)
	if slots > s.adapterSlots || mb > s.weightsMB {
		s.exceeded("adapter %s/%s: %d adapters in %d places, %.0f MB of %.0f", model, adapter, slots, s.adapterSlots, mb, s.weightsMB)
		return 0
	}
	s.changed(life)
	return http.StatusAccepted
}

func (s *engineServer) unloadAdapter(life *lifetime, model, adapter string) int {
	m := life.models[model]
	if m == nil || !slices.Contains(m.adapters, adapter) {
		return http.StatusOK
	}
	life.sequence++
	m.adapters = slices.DeleteFunc(m.adapters, func(a string) bool { return a == adapter })
	s.changed(life)
	return http.StatusOK
}

// exceeded records that an order was carried out beyond what the server holds, and crashes it. s.mu is held.
func (s *engineServer) exceeded(format string, args ...any) {
	s.overLimit++
	s.record.say("LIMIT: server %s crashes, as an order loads more than it holds: "+format, append([]any{s.id}, args...)...)
	s.endLife()
	time.AfterFunc(downFor, s.restart)
}

// serveRequest runs a request as a stream of events.
func (s *engineServer) serveRequest(life *lifetime, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	model, adapter, _ := strings.Cut(r.Header.Get(headerModel), "/")
	s.mu.Lock()
	m := life.models[model]
	holds := m != nil && !m.loading && (adapter == "" || slices.Contains(m.adapters, adapter))
	s.mu.Unlock()
	w.Header().Set(headerAttempt, id)
	if !holds {
		s.record.line("server %s does not hold %s for %s, not run", s.id, r.Header.Get(headerModel), id)
		w.Header().Set(headerInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	events := s.events()
	s.record.line("server %s runs %s, %d events", s.id, id, events)
	w.Header().Set(headerStamp, s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	whole := s.writeEvents(life, w, r, id, events)
	if !whole {
		s.record.line("server %s ends its run of %s before the end", s.id, id)
	}
	if s.ended != nil {
		s.ended(id, whole)
	}
}

// writeEvents writes the events of an answer, and reports whether all were written.
func (s *engineServer) writeEvents(life *lifetime, w http.ResponseWriter, r *http.Request, id string, events int) bool {
	flusher := http.NewResponseController(w)
	next := time.Now()
	for n := 1; n <= events; n++ {
		next = next.Add(s.eventTime)
		select {
		case <-r.Context().Done():
			return false
		case <-life.ctx.Done():
			return false
		case <-time.After(time.Until(next)):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil {
			return false
		}
		if err := flusher.Flush(); err != nil {
			return false
		}
	}
	return true
}
