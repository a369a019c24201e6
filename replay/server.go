package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/batch"
	"github.com/hibiscuscart/hibiscuscart/steer"
)

// server is a backend server with its batch, its loaded models and adapters, and the order in
// progress.
type server struct {
	sim    *simulation
	index  int
	domain string
	// instanceCount is the number of instances so far, and id identifies the current one.
	instanceCount int
	id            string
	down          bool
	batch         *batch.Server
	// stepScheduled is set while the end of the current step is in the event queue.
	stepScheduled bool
	loaded        map[int]bool
	adapters      map[adapterKey]*adapterState
	order         *modelOrder
	sequence      int
	hostCache     []int
	diskCache     []int
	prefixCache   prefixCache
	attempts      map[*batch.Request]*attempt
	// refused counts the attempts that the server refused.
	refused int
	// slowdown is the factor by which a fault makes the server slower, 1 for none. estimate is the
	// estimated pace.
	slowdown float64
	estimate paceEstimate
}

type adapterKey struct{ model, adapter int }

// adapterState is an adapter on a server: when it is loaded, and whether it is to be unloaded once
// no request uses it.
type adapterState struct {
	readyAt   time.Duration
	unloading bool
}

// modelOrder is the load or unload of a model in progress.
type modelOrder struct {
	model  int
	unload bool
}

func (s *server) start() {
	s.instanceCount++
	s.id = fmt.Sprintf("s%04d-%d", s.index, s.instanceCount)
	spec := s.spec()
	s.batch = &batch.Server{Spec: spec}
	s.slowdown, s.estimate = 1, paceEstimate{}
	s.loaded, s.order, s.sequence, s.hostCache = make(map[int]bool), nil, 0, nil
	s.adapters = make(map[adapterKey]*adapterState)
	s.prefixCache = prefixCache{capacityTokens: spec.KVCacheTokens}
	s.attempts = make(map[*batch.Request]*attempt)
	s.down, s.stepScheduled = false, false
}

func (s *server) entry() backs.Entry {
	e := backs.Entry{ID: s.id, Service: serviceName, Address: s.id, Domain: s.domain, Slots: s.sim.pattern.Fleet.ServerSpec.Slots}
	e.Models = s.loadedModels()
	return e
}

func (s *server) loadedModels() []backs.LoadedModel {
	var list []backs.LoadedModel
	for m := range s.sim.pattern.Fleet.Models {
		if s.loaded[m] {
			list = append(list, backs.LoadedModel{Model: modelName(m), Version: 1, Adapters: s.loadedAdapters(m)})
		}
	}
	return list
}

func (s *server) loadedAdapters(m int) []string {
	var list []string
	for a := range s.sim.pattern.Fleet.Models[m].AdapterCount {
		if adapter := s.adapters[adapterKey{m, a + 1}]; adapter != nil {
			list = append(list, adapterName(a+1))
		}
	}
	return list
}

// canServe reports whether the server has loaded the model and adapter of a request.
func (s *server) canServe(r *request) bool {
	if s.down || !s.loaded[r.model] || s.order != nil && s.order.model == r.model {
		return false
	}
	if r.adapter == 0 {
		return true
	}
	adapter := s.adapters[adapterKey{r.model, r.adapter}]
	return adapter != nil && !adapter.unloading && s.sim.now >= adapter.readyAt
}

// crash stops the server and fails its requests. It restarts after downtime.
func (s *server) crash(downtime time.Duration) {
	s.down = true
	attempts := s.attempts
	s.attempts = nil
	for _, a := range s.sim.sortAttempts(attempts) {
		a.fail()
	}
	instance := s.instanceCount
	s.sim.scheduleAfter(downtime, func() {
		if s.instanceCount == instance {
			s.start()
			s.sim.publishEntry(s)
		}
	})
}

// submit adds a request to the batch. It returns false if the batch is full.
func (s *server) submit(a *attempt) bool {
	a.batchRequest.PromptTokens = max(a.request.promptTokens-s.prefixCache.cachedTokens(a.request), 1)
	if !s.batch.Submit(s.sim.currentTime(), a.batchRequest) {
		s.refused++
		return false
	}
	s.prefixCache.add(a.request)
	s.attempts[a.batchRequest] = a
	s.scheduleStep()
	return true
}

func (s *server) cancel(a *attempt) {
	if s.attempts[a.batchRequest] == a {
		delete(s.attempts, a.batchRequest)
		s.batch.Cancel(a.batchRequest)
		s.finishUnloads()
	}
}

func (s *server) scheduleStep() {
	if s.stepScheduled {
		return
	}
	next, ok := s.batch.StepEnd()
	if !ok {
		return
	}
	s.stepScheduled = true
	b := s.batch
	s.sim.scheduleAt(next.Sub(epoch), func() {
		if s.batch != b || s.down {
			return
		}
		s.stepScheduled = false
		s.finishStep()
		s.scheduleStep()
	})
}

func (s *server) finishStep() {
	for _, e := range s.batch.FinishStep() {
		a := s.attempts[e.Request]
		if a == nil {
			continue
		}
		if e.First {
			a.deliverFirstEvent()
		}
		if e.Done {
			delete(s.attempts, e.Request)
			a.deliverEnd()
		}
	}
	s.finishUnloads()
}

// finishUnloads completes the unloads of models and adapters that no request uses any more.
func (s *server) finishUnloads() {
	for key, adapter := range s.adapters {
		if adapter.unloading && !s.adapterInUse(key) {
			delete(s.adapters, key)
		}
	}
	if s.order == nil || !s.order.unload {
		return
	}
	for _, a := range s.attempts {
		if a.request.model == s.order.model {
			return
		}
	}
	delete(s.loaded, s.order.model)
	for key := range s.adapters {
		if key.model == s.order.model {
			delete(s.adapters, key)
		}
	}
	s.prefixCache.removeModel(s.order.model)
	s.order = nil
	s.sim.publishEntry(s)
}

func (s *server) adapterInUse(key adapterKey) bool {
	for _, a := range s.attempts {
		if a.request.model == key.model && a.request.adapter == key.adapter {
			return true
		}
	}
	return false
}

// applyOrder starts the execution of an order.
func (s *server) applyOrder(o steer.Order) steer.OrderResult {
	m := modelNumber(o.Model)
	if o.Adapter != "" {
		return s.applyAdapterOrder(o, m)
	}
	switch {
	case s.order != nil || o.ExpectedSequence != s.sequence:
		return steer.Conflict
	case o.Unload != s.loaded[m]:
		return steer.Done
	}
	s.sequence++
	s.order = &modelOrder{m, o.Unload}
	if o.Unload {
		s.sim.tally.unloads++
		s.finishUnloads()
		return steer.Accepted
	}
	s.sim.tally.loads++
	s.loadModel(m)
	return steer.Accepted
}

func (s *server) applyAdapterOrder(o steer.Order, m int) steer.OrderResult {
	key := adapterKey{m, adapterNumber(o.Adapter)}
	adapter := s.adapters[key]
	switch {
	case s.order != nil || o.ExpectedSequence != s.sequence:
		return steer.Conflict
	case !s.loaded[m]:
		return steer.Refused
	case o.Unload == (adapter == nil):
		s.sequence++
		return steer.Done
	}
	s.sequence++
	s.sim.tally.adapterOrders++
	if o.Unload {
		if !s.adapterInUse(key) {
			delete(s.adapters, key)
			return steer.Done
		}
		adapter.unloading = true
		return steer.Accepted
	}
	if len(s.adapters) >= s.sim.pattern.Fleet.AdapterSlots {
		panic(fmt.Sprintf("server %s: the order exceeds its adapter slots", s.id))
	}
	s.adapters[key] = &adapterState{readyAt: s.sim.now + s.sim.pattern.Fleet.AdapterLoadTime}
	s.sim.publishEntry(s)
	return steer.Accepted
}

func (s *server) loadModel(m int) {
	sim, f := s.sim, &s.sim.pattern.Fleet
	if s.usedMB() > f.WeightMemoryMB {
		panic(fmt.Sprintf("server %s: the order exceeds its memory", s.id))
	}
	loadTime := f.Models[m].LoadTime
	switch {
	case slices.Contains(s.hostCache, m):
		loadTime = f.Models[m].MemoryLoadTime
	case slices.Contains(s.diskCache, m):
		loadTime = f.Models[m].DiskLoadTime
	default:
		sim.tally.storeLoads++
		sim.storeLoads++
		loadTime = time.Duration(float64(loadTime) * max(1, float64(sim.storeLoads)/float64(max(f.FullSpeedLoads, 1))))
		sim.scheduleAfter(loadTime, func() { sim.storeLoads-- })
	}
	id := s.id
	sim.scheduleAfter(loadTime, func() {
		if s.id != id || s.down {
			return
		}
		s.order = nil
		s.addModel(m)
		sim.publishEntry(s)
	})
}

// addModel adds a loaded model, and its weights to the caches in host memory and on disk.
func (s *server) addModel(m int) {
	f := &s.sim.pattern.Fleet
	s.loaded[m] = true
	s.hostCache = addToCache(f, s.hostCache, f.HostCacheMB, m)
	s.diskCache = addToCache(f, s.diskCache, f.DiskCacheMB, m)
}

// addToCache appends a model to a cache and evicts models from the front beyond the capacity.
func addToCache(f *Fleet, list []int, capacityMB float64, m int) []int {
	list = slices.DeleteFunc(list, func(x int) bool { return x == m })
	list = append(list, m)
	usedMB := 0.0
	for _, x := range list {
		usedMB += f.Models[x].SizeMB
	}
	for usedMB > capacityMB && len(list) > 0 {
		usedMB -= f.Models[list[0]].SizeMB
		list = list[1:]
	}
	return list
}

func (s *server) usedMB() float64 {
	mb := 0.0
	for m := range s.loaded {
		mb += s.sim.pattern.Fleet.Models[m].SizeMB
	}
	mb += float64(len(s.adapters)) * s.sim.pattern.Fleet.AdapterSizeMB
	if s.order != nil && !s.order.unload {
		mb += s.sim.pattern.Fleet.Models[s.order.model].SizeMB
	}
	return mb
}

func (s *server) report() steer.Report {
	return steer.Report{
		Models: s.loadedModels(), Busy: s.order != nil, Sequence: s.sequence,
		InMemory: modelNames(s.hostCache), OnDisk: modelNames(s.diskCache),
	}
}

// prefixCache is a server's LRU cache of prompt parts.
type prefixCache struct {
	capacityTokens, usedTokens int
	useCount                   int
	parts                      map[partKey]cachedPart
}

type partKey struct {
	model int
	key   uint64
}

type cachedPart struct{ tokens, lastUse int }

// cachedTokens returns how many tokens at the start of a prompt are cached.
func (c *prefixCache) cachedTokens(r *request) int {
	n := 0
	for _, p := range r.sharedParts {
		if _, ok := c.parts[partKey{r.model, p.key}]; !ok {
			break
		}
		n += p.tokens
	}
	return n
}

func (c *prefixCache) add(r *request) {
	if c.parts == nil {
		c.parts = make(map[partKey]cachedPart)
	}
	c.useCount++
	for _, p := range r.sharedParts {
		key := partKey{r.model, p.key}
		if _, ok := c.parts[key]; !ok {
			c.usedTokens += p.tokens
		}
		c.parts[key] = cachedPart{p.tokens, c.useCount}
	}
	// The other half of the capacity is for running requests.
	for c.capacityTokens > 0 && c.usedTokens > c.capacityTokens/2 {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	var oldest partKey
	oldestUse := -1
	for key, p := range c.parts {
		if oldestUse < 0 || p.lastUse < oldestUse || p.lastUse == oldestUse && key.key < oldest.key {
			oldest, oldestUse = key, p.lastUse
		}
	}
	c.usedTokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}

func (c *prefixCache) removeModel(model int) {
	for key, p := range c.parts {
		if key.model == model {
			c.usedTokens -= p.tokens
			delete(c.parts, key)
		}
	}
}
