package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/batch"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

// server is a backend server: its batch, what it holds, and the order under way.
type server struct {
	w      *world
	place  int
	domain string
	// starts counts its starts, id names the present one.
	starts int
	id     string
	down   bool
	batch  *batch.Server
	// pumping is set while its next step is on the agenda.
	pumping  bool
	held     map[int]bool
	adapters map[adapterKey]*adapterState
	order    *modelOrder
	sequence int
	memory   []int
	disk     []int
	kept     kept
	runs     map[*batch.Request]*send
	// busySlots sums up the slots taken, for the figures.
	refused int
}

type adapterKey struct{ model, adapter int }

// adapterState is an adapter at a server: when it can be used, and whether it leaves.
type adapterState struct {
	ready   time.Duration
	leaving bool
}

// modelOrder is a model on its way in or out.
type modelOrder struct {
	model  int
	unload bool
}

func (s *server) begin() {
	s.starts++
	s.id = fmt.Sprintf("s%04d-%d", s.place, s.starts)
	spec := s.w.p.Fleet.Server
	s.batch = &batch.Server{Spec: spec}
	s.held, s.order, s.sequence, s.memory = make(map[int]bool), nil, 0, nil
	s.adapters = make(map[adapterKey]*adapterState)
	s.kept = kept{room: spec.KVCacheTokens}
	s.runs = make(map[*batch.Request]*send)
	s.down, s.pumping = false, false
}

func (s *server) entry() backs.Entry {
	e := backs.Entry{ID: s.id, Service: serviceName, Address: s.id, Domain: s.domain, Slots: s.w.p.Fleet.Server.Slots}
	e.Models = s.holds()
	return e
}

func (s *server) holds() []backs.LoadedModel {
	var list []backs.LoadedModel
	for m := range s.w.p.Fleet.Models {
		if s.held[m] {
			list = append(list, backs.LoadedModel{Model: modelName(m), Version: 1, Adapters: s.adaptersOf(m)})
		}
	}
	return list
}

func (s *server) adaptersOf(m int) []string {
	var list []string
	for a := range s.w.p.Fleet.Models[m].Adapters {
		if at := s.adapters[adapterKey{m, a + 1}]; at != nil {
			list = append(list, adapterName(a+1))
		}
	}
	return list
}

// serves reports whether the server can run a request.
func (s *server) serves(r *request) bool {
	if s.down || !s.held[r.model] || s.order != nil && s.order.model == r.model {
		return false
	}
	if r.adapter == 0 {
		return true
	}
	at := s.adapters[adapterKey{r.model, r.adapter}]
	return at != nil && !at.leaving && s.w.now >= at.ready
}

// crash takes the server down with all that runs there.
func (s *server) crash(back time.Duration) {
	s.down = true
	runs := s.runs
	s.runs = nil
	for _, t := range s.w.inOrder(runs) {
		t.broken()
	}
	starts := s.starts
	s.w.after(back, func() {
		if s.starts == starts {
			s.begin()
			s.w.listed(s)
		}
	})
}

// submit takes a request in; it reports false when it is full.
func (s *server) submit(t *send) bool {
	t.run.PromptTokens = max(t.r.prompt-s.kept.hit(t.r), 1)
	if !s.batch.Submit(s.w.time(), t.run) {
		s.refused++
		return false
	}
	s.kept.keep(t.r)
	s.runs[t.run] = t
	s.pump()
	return true
}

func (s *server) cancel(t *send) {
	if s.runs[t.run] == t {
		delete(s.runs, t.run)
		s.batch.Cancel(t.run)
		s.settle()
	}
}

func (s *server) pump() {
	if s.pumping {
		return
	}
	next, ok := s.batch.StepEnd()
	if !ok {
		return
	}
	s.pumping = true
	b := s.batch
	s.w.at(next.Sub(epoch), func() {
		if s.batch != b || s.down {
			return
		}
		s.pumping = false
		s.step()
		s.pump()
	})
}

func (s *server) step() {
	for _, e := range s.batch.FinishStep() {
		t := s.runs[e.Request]
		if t == nil {
			continue
		}
		if e.First {
			t.first()
		}
		if e.Done {
			delete(s.runs, e.Request)
			t.done()
		}
	}
	s.settle()
}

// settle ends unloadings whose runs have ended.
func (s *server) settle() {
	for key, at := range s.adapters {
		if at.leaving && !s.uses(key) {
			delete(s.adapters, key)
		}
	}
	if s.order == nil || !s.order.unload {
		return
	}
	for _, t := range s.runs {
		if t.r.model == s.order.model {
			return
		}
	}
	delete(s.held, s.order.model)
	for key := range s.adapters {
		if key.model == s.order.model {
			delete(s.adapters, key)
		}
	}
	s.kept.drop(s.order.model)
	s.order = nil
	s.w.listed(s)
}

func (s *server) uses(key adapterKey) bool {
	for _, t := range s.runs {
		if t.r.model == key.model && t.r.adapter == key.adapter {
			return true
		}
	}
	return false
}

// take carries out an order.
func (s *server) take(o steer.Order) steer.OrderResult {
	m := modelNumber(o.Model)
	if o.Adapter != "" {
		return s.takeAdapter(o, m)
	}
	switch {
	case s.order != nil || o.ExpectedSequence != s.sequence:
		return steer.Conflict
	case o.Unload != s.held[m]:
		return steer.Done
	}
	s.sequence++
	s.order = &modelOrder{m, o.Unload}
	if o.Unload {
		s.w.tally.unloads++
		s.settle()
		return steer.Accepted
	}
	s.w.tally.loads++
	s.loadModel(m)
	return steer.Accepted
}

func (s *server) takeAdapter(o steer.Order, m int) steer.OrderResult {
	key := adapterKey{m, adapterNumber(o.Adapter)}
	at := s.adapters[key]
	switch {
	case s.order != nil || o.ExpectedSequence != s.sequence:
		return steer.Conflict
	case !s.held[m]:
		return steer.Refused
	case o.Unload == (at == nil):
		s.sequence++
		return steer.Done
	}
	s.sequence++
	s.w.tally.adapterOrders++
	if o.Unload {
		if !s.uses(key) {
			delete(s.adapters, key)
			return steer.Done
		}
		at.leaving = true
		return steer.Accepted
	}
	if len(s.adapters) >= s.w.p.Fleet.AdapterSlots {
		panic(fmt.Sprintf("server %s is ordered beyond its places for adapters", s.id))
	}
	s.adapters[key] = &adapterState{ready: s.w.now + s.w.p.Fleet.AdapterLoad}
	s.w.listed(s)
	return steer.Accepted
}

func (s *server) loadModel(m int) {
	w, f := s.w, &s.w.p.Fleet
	if s.weight() > f.MemoryMB {
		panic(fmt.Sprintf("server %s is ordered beyond its memory", s.id))
	}
	took := f.Models[m].Load
	switch {
	case slices.Contains(s.memory, m):
		took = f.Models[m].Warm
	case slices.Contains(s.disk, m):
		took = f.Models[m].Disk
	default:
		w.tally.storeLoads++
		w.loading++
		took = time.Duration(float64(took) * max(1, float64(w.loading)/float64(max(f.AtOnce, 1))))
		w.after(took, func() { w.loading-- })
	}
	id := s.id
	w.after(took, func() {
		if s.id != id || s.down {
			return
		}
		s.order = nil
		s.addModel(m)
		w.listed(s)
	})
}

// addModel makes the server hold a model, with copies in its memory and on its disk.
func (s *server) addModel(m int) {
	f := &s.w.p.Fleet
	s.held[m] = true
	s.memory = latest(f, s.memory, f.HostMB, m)
	s.disk = latest(f, s.disk, f.DiskMB, m)
}

// latest puts a model behind a list whose first ones make way for it.
func latest(f *Fleet, list []int, room float64, m int) []int {
	list = slices.DeleteFunc(list, func(x int) bool { return x == m })
	list = append(list, m)
	total := 0.0
	for _, x := range list {
		total += f.Models[x].MB
	}
	for total > room && len(list) > 0 {
		total -= f.Models[list[0]].MB
		list = list[1:]
	}
	return list
}

func (s *server) weight() float64 {
	mb := 0.0
	for m := range s.held {
		mb += s.w.p.Fleet.Models[m].MB
	}
	mb += float64(len(s.adapters)) * s.w.p.Fleet.AdapterMB
	if s.order != nil && !s.order.unload {
		mb += s.w.p.Fleet.Models[s.order.model].MB
	}
	return mb
}

func (s *server) report() steer.Report {
	return steer.Report{
		Models: s.holds(), Busy: s.order != nil, Sequence: s.sequence,
		InMemory: modelNames(s.memory), OnDisk: modelNames(s.disk),
	}
}

// kept is the prompt parts that a server keeps, the least recently used first to yield.
type kept struct {
	room, tokens int
	turn         int
	parts        map[partKey]keptPart
}

type partKey struct {
	model int
	key   uint64
}

type keptPart struct{ tokens, used int }

// hit returns how many tokens at the start of a prompt are kept.
func (k *kept) hit(r *request) int {
	n := 0
	for _, p := range r.shared {
		if _, ok := k.parts[partKey{r.model, p.key}]; !ok {
			break
		}
		n += p.tokens
	}
	return n
}

func (k *kept) keep(r *request) {
	if k.parts == nil {
		k.parts = make(map[partKey]keptPart)
	}
	k.turn++
	for _, p := range r.shared {
		key := partKey{r.model, p.key}
		if _, ok := k.parts[key]; !ok {
			k.tokens += p.tokens
		}
		k.parts[key] = keptPart{p.tokens, k.turn}
	}
	// Running requests have the rest of the memory.
	for k.room > 0 && k.tokens > k.room/2 {
		k.dropOldest()
	}
}

func (k *kept) dropOldest() {
	var oldest partKey
	least := -1
	for key, p := range k.parts {
		if least < 0 || p.used < least || p.used == least && key.key < oldest.key {
			oldest, least = key, p.used
		}
	}
	k.tokens -= k.parts[oldest].tokens
	delete(k.parts, oldest)
}

func (k *kept) drop(model int) {
	for key, p := range k.parts {
		if key.model == model {
			k.tokens -= p.tokens
			delete(k.parts, key)
		}
	}
}
