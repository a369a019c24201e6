package pick

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

const (
	// defaultPrefillTokensPerMs is the prefill rate of the largest model until
	// responses have been measured. The deployments' data sheets give 38.4 tokens
	// per millisecond; decode steps of running requests between chunks lower it.
	defaultPrefillTokensPerMs = 32.0
	// prefillRateWeight is the weight of one response in the moving average of a
	// model's prefill rate. minPrefillTokensPerMs and maxPrefillTokensPerMs bound
	// the samples. Prompts below minPrefillSampleTokens are not sampled, because
	// network latency and the first decode step outweigh their prefill time.
	prefillRateWeight      = 0.1
	minPrefillTokensPerMs  = 8.0
	maxPrefillTokensPerMs  = 400.0
	minPrefillSampleTokens = 200
	// runningRequestCost is what each running request adds to the time to first
	// token: it lengthens a decode step by microseconds, and some tens of steps
	// run before the first token.
	runningRequestCost = 300 * time.Microsecond
	// crossDomainCost is the cost of another failure domain in time: one network
	// round trip and the transfer across domains.
	crossDomainCost = 4 * time.Millisecond
	// newConnectionCost is the cost of a new connection in time: it occupies a
	// slot of the server and takes a round trip and a millisecond of server work.
	newConnectionCost = 6 * time.Millisecond
	// defaultResponseTime is the response time of a service without models until
	// responses have been measured; the data sheets give 15 to 30 ms.
	defaultResponseTime = 20 * time.Millisecond
	// defaultModelResponseTime is the time of a complete response of a model
	// server until responses have been measured; the data sheets give 0.3 s to
	// 1.5 s. modelResponseWeight is the weight of one response in the average;
	// it is small because kinds of requests differ by a factor of five.
	defaultModelResponseTime = 700 * time.Millisecond
	modelResponseWeight      = 0.02
	// prefixCacheShare is the share of a server's KV cache assumed to hold cached
	// prompts; running requests use the rest.
	prefixCacheShare = 0.7
	// assumedPrefixShare is the share of a shared prefix that its server is
	// assumed to have cached for other VMs before this VM has sent it there.
	assumedPrefixShare = 0.6
	// kvPreemptionShare is the KV cache usage above which a server preempts
	// running streams. It leaves capacity for the tokens still to be generated.
	kvPreemptionShare = 0.85
	// preemptionCost is the cost of the preemption that a request beyond
	// kvPreemptionShare causes.
	preemptionCost = 2 * time.Second
	// failureCost is the cost of a certain failure: the request misses its
	// objective, and a request that must not run twice is lost.
	failureCost = 3 * time.Second
)

// Load is the load on a server from one or more VMs.
type Load struct {
	// Running is the number of requests sent and not finished, KVTokens the
	// KV cache tokens that they need.
	Running, KVTokens int
	// PrefillTime is the prefill time of the requests without a first event.
	PrefillTime time.Duration
	// Adapters lists the adapters in use, as MODEL/ADAPTER. Sums omit them.
	Adapters []string
}

// Add returns the sum of two loads, without adapters.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, PrefillTime: l.PrefillTime + o.PrefillTime, KVTokens: l.KVTokens + o.KVTokens}
}

// SubtractLoads subtracts one VM's part from sums. The two can be of slightly different
// age, so results below zero become zero.
func SubtractLoads(sums, part map[string]Load) map[string]Load {
	rest := make(map[string]Load, len(sums))
	for id, s := range sums {
		p := part[id]
		rest[id] = Load{Running: max(s.Running-p.Running, 0), PrefillTime: max(s.PrefillTime-p.PrefillTime, 0), KVTokens: max(s.KVTokens-p.KVTokens, 0)}
	}
	return rest
}

// serverState is the load, prefix cache and history of one server.
type serverState struct {
	local, remote Load
	cache         prefixCache
	failures      failureRate
	responseTime  time.Duration
	// adapters is the number of requests using each adapter.
	adapters map[string]int
}

func (s *serverState) addAdapterUse(w Work, delta int) {
	if w.Adapter == "" {
		return
	}
	if s.adapters == nil {
		s.adapters = make(map[string]int)
	}
	name := w.Model + "/" + w.Adapter
	if s.adapters[name] += delta; s.adapters[name] <= 0 {
		delete(s.adapters, name)
	}
}

// Balancer tracks the load and the measured performance of all servers and chooses
// between them. Domain is the VM's failure domain; the zero value of the other
// fields is usable. It is safe for use by several goroutines.
type Balancer struct {
	Domain string
	// Seed makes the VM's random choices differ from those of other VMs.
	Seed uint64
	// HasIdleConn reports whether an idle connection to a server is open; nil
	// means always.
	HasIdleConn func(id string) bool

	mu      sync.Mutex
	servers map[string]*serverState
	// remoteLoadsAt is when the loads of the other VMs were reported,
	// randomKeys the number of random keys drawn.
	remoteLoadsAt  time.Time
	randomKeys     uint64
	domainFailures map[string]*failureRate
	// prefillRates is the prefill rate of each model in tokens per millisecond,
	// measured on idle servers.
	prefillRates map[string]float64
	// responseTimes is the average response time of each service.
	responseTimes map[string]time.Duration
	// modelResponseTimes is the average time of a complete response of each
	// service that runs models.
	modelResponseTimes map[string]time.Duration
	// outputShares is the average output of each route as a share of the
	// maximum output tokens, tokenTimes the decode time of a token of each
	// model.
	outputShares map[string]float64
	tokenTimes   map[string]time.Duration
}

func (b *Balancer) serverState(id string) *serverState {
	s := b.servers[id]
	if s == nil {
		if b.servers == nil {
			b.servers = make(map[string]*serverState)
		}
		s = &serverState{}
		b.servers[id] = s
	}
	return s
}

// Choice is the chosen server with the predicted time to its first event.
type Choice struct {
	Server        backs.Entry
	PredictedTime time.Duration
	// QueueTime is the part of PredictedTime before this request's prefill starts.
	QueueTime time.Duration
	// UncachedTokens is the number of prompt tokens predicted to miss the prefix
	// cache, and PrefillTime their prefill time.
	UncachedTokens int
	PrefillTime    time.Duration
	// Load is the load of the server that the prediction assumed.
	Load Load
}

// Choose returns the candidate with the lowest predicted cost, except those in
// excluded. kvTokens is the size of a server's KV cache in tokens, 0 when unknown.
func (b *Balancer) Choose(now time.Time, candidates []backs.Entry, w Work, kvTokens int, excluded []string) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.Model != "" {
		return b.chooseModel(now, candidates, w, kvTokens, excluded)
	}
	var best Choice
	var bestCost time.Duration
	found := false
	for _, e := range candidates {
		if slices.Contains(excluded, e.ID) {
			continue
		}
		c := b.predict(now, e, w, nil, false)
		cost := c.PredictedTime + b.penalty(now, e, w, kvTokens)
		if !found || cost < bestCost || cost == bestCost && e.ID < best.Server.ID {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}

// chooseModel distributes the requests for a model over its replicas.
func (b *Balancer) chooseModel(now time.Time, candidates []backs.Entry, w Work, kvTokens int, excluded []string) (Choice, bool) {
	prefixKeys := w.prefixKeys()
	key, connCost := w.sharedPrefixKey(prefixKeys), time.Duration(0)
	if sharedPrefixTokens(w) < minSharedPrefixTokens {
		key, connCost = b.randomKey(), newConnectionCost
	}
	ranked := make([]candidate, 0, len(candidates))
	for _, e := range candidates {
		if slices.Contains(excluded, e.ID) {
			continue
		}
		c := candidate{server: e, queueTime: b.queueTime(now, e) + b.slotBacklog(e) + b.penalty(now, e, w, kvTokens)}
		if !b.hasIdleConn(e) {
			c.queueTime += connCost
		}
		ranked = append(ranked, c)
	}
	if len(ranked) == 0 {
		return Choice{}, false
	}
	chosen := ranked[weightedRendezvous(ranked, key)]
	return b.predict(now, chosen.server, w, prefixKeys, true), true
}

// queueTime returns the time that a server needs for its pending prefill. The
// servers have processed part of the load of the other VMs since it was reported.
func (b *Balancer) queueTime(now time.Time, e backs.Entry) time.Duration {
	s := b.serverState(e.ID)
	remotePrefill := max(s.remote.PrefillTime-now.Sub(b.remoteLoadsAt), 0)
	return s.local.PrefillTime + remotePrefill + time.Duration(s.local.Running+s.remote.Running)*runningRequestCost
}

// slotBacklog returns the time that a server needs for the responses it is
// generating, each of which occupies one slot. Requests are distributed so that
// prefill and decode together are balanced. With prefill alone, a server with
// short prompts and no free slot would rank equal to an empty one, and requests
// would wait there for a slot.
func (b *Balancer) slotBacklog(e backs.Entry) time.Duration {
	if e.Slots == 0 {
		return 0
	}
	s := b.serverState(e.ID)
	return time.Duration(s.local.Running+s.remote.Running) * b.modelResponseTime(e.Service) / time.Duration(e.Slots)
}

// modelResponseTime returns the average time of a complete response of a model server.
func (b *Balancer) modelResponseTime(service string) time.Duration {
	return cmp.Or(b.modelResponseTimes[service], defaultModelResponseTime)
}

func (b *Balancer) predict(now time.Time, e backs.Entry, w Work, prefixKeys []uint64, assumeShared bool) Choice {
	s := b.serverState(e.ID)
	load := s.local.Add(s.remote)
	if w.Model == "" {
		return Choice{Server: e, PredictedTime: s.predictResponseTime(b.responseTimes[e.Service], load, e.Slots), Load: load}
	}
	cachedTokens := s.cache.hitTokens(w, prefixKeys)
	if assumeShared {
		cachedTokens = max(cachedTokens, int(assumedPrefixShare*float64(sharedPrefixTokens(w))))
	}
	uncached := max(w.PromptTokens-cachedTokens, 1)
	prefill := time.Duration(float64(uncached) / b.prefillRate(w) * float64(time.Millisecond))
	queueTime := b.queueTime(now, e)
	return Choice{Server: e, UncachedTokens: uncached, QueueTime: queueTime, PrefillTime: prefill, Load: load, PredictedTime: queueTime + prefill}
}

// prefillRate returns the prefill rate of the work's model in tokens per
// millisecond. Without measurements, larger models are assumed to be slower in
// proportion to their size.
func (b *Balancer) prefillRate(w Work) float64 {
	if r, ok := b.prefillRates[w.Model]; ok {
		return r
	}
	if w.RelativeModelSize > 0 {
		return min(defaultPrefillTokensPerMs/w.RelativeModelSize, maxPrefillTokensPerMs)
	}
	return defaultPrefillTokensPerMs
}

// updatePrefillRate updates a model's prefill rate with a measurement: the time in
// which an idle server prefilled a number of prompt tokens.
func (b *Balancer) updatePrefillRate(w Work, tokens int, took time.Duration) {
	if took -= firstEventOverhead; tokens < minPrefillSampleTokens || took <= 0 {
		return
	}
	if b.prefillRates == nil {
		b.prefillRates = make(map[string]float64)
	}
	observed := min(max(float64(tokens)/(took.Seconds()*1000), minPrefillTokensPerMs), maxPrefillTokensPerMs)
	rate := b.prefillRate(w)
	b.prefillRates[w.Model] = rate + prefillRateWeight*(observed-rate)
}

func sharedPrefixTokens(w Work) int {
	tokens := 0
	for _, p := range w.PromptParts[:max(len(w.PromptParts)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}

// predictResponseTime predicts the response time of a service without models: the
// number of rounds of requests ahead of this one times the average response time.
// A server without responses gets the average of the service, so that it is tried.
func (s *serverState) predictResponseTime(serviceAverage time.Duration, load Load, slots int) time.Duration {
	took := s.responseTime
	if took == 0 {
		took = serviceAverage
	}
	if took == 0 {
		took = defaultResponseTime
	}
	rounds := float64(load.Running+1) / float64(max(slots, 1))
	return time.Duration(float64(took) * math.Max(1, rounds) * (1 + 0.2*rounds))
}

// penalty returns the cost of a server beside its response time: distance, recent
// failures and a KV cache that is nearly full.
func (b *Balancer) penalty(now time.Time, e backs.Entry, w Work, kvTokens int) time.Duration {
	s := b.serverState(e.ID)
	cost := time.Duration(s.failures.now(now) * float64(failureCost))
	if e.Domain != b.Domain {
		cost += crossDomainCost + time.Duration(b.domainFailures[e.Domain].now(now)*float64(failureCost))
	}
	if kvNeed := s.local.KVTokens + s.remote.KVTokens + w.PromptTokens + w.MaxOutputTokens; w.Model != "" && kvTokens > 0 && float64(kvNeed) > kvPreemptionShare*float64(kvTokens) {
		cost += preemptionCost
	}
	if e.WarmupRemaining > 0 {
		cost += defaultResponseTime
	}
	if w.Model == "" && !b.hasIdleConn(e) {
		cost += newConnectionCost
	}
	return cost
}

// hasIdleConn reports whether an idle connection to a server is open.
func (b *Balancer) hasIdleConn(e backs.Entry) bool {
	return b.HasIdleConn == nil || b.HasIdleConn(e.ID)
}

// SetRemoteLoads replaces the load of the other VMs on each server, as reported at now.
func (b *Balancer) SetRemoteLoads(now time.Time, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remoteLoadsAt = now
	for id, s := range b.servers {
		s.remote = loads[id]
	}
	for id, l := range loads {
		b.serverState(id).remote = l
	}
}

// Running returns how many requests of all VMs run or wait at a server, as far as known.
func (b *Balancer) Running(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return 0
	}
	return s.local.Running + s.remote.Running
}

// LocalRunning returns how many requests of this VM run or wait at a server.
func (b *Balancer) LocalRunning(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return 0
	}
	return s.local.Running
}

// ResponseTime returns how long a complete response of a server takes on average, as this VM has measured it there
// or at other servers of the service; 0 if it had none.
func (b *Balancer) ResponseTime(e backs.Entry) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[e.ID]; s != nil && s.responseTime > 0 {
		return s.responseTime
	}
	return b.responseTimes[e.Service]
}

// LocalLoads returns the load of this VM on each server.
func (b *Balancer) LocalLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	local := make(map[string]Load)
	for id, s := range b.servers {
		if s.local.Running > 0 {
			l := s.local
			l.Adapters = slices.Collect(maps.Keys(s.adapters))
			local[id] = l
		}
	}
	return local
}

// Retain discards the state of servers that are not in the list and have no running requests.
func (b *Balancer) Retain(current []backs.Entry) {
	listed := make(map[string]bool, len(current))
	for _, e := range current {
		listed[e.ID] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if !listed[id] && s.local.Running == 0 {
			delete(b.servers, id)
		}
	}
}
