package pick

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

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
	// Pace returns how long work sent now takes on a server, 1 as usual; nil means 1 for all. Observed is called with the time
	// of a response divided by the time predicted at a pace of 1, for responses that other work on the server disturbs
	// little; nil means that it is not. Neither may call the Balancer.
	Pace     func(now time.Time, server string) float64
	Observed func(now time.Time, server string, ratio float64)

	mu      sync.Mutex
	servers map[string]*serverState
	// remoteLoadsAt is when the loads of the other VMs were reported,
	// randomKeys the number of random keys drawn.
	remoteLoadsAt  time.Time
	randomKeys     uint64
	domainFailures map[string]*failureRate
	// prefillRates is the prefill rate of each model in tokens per millisecond at a
	// pace of 1, measured on idle servers.
	prefillRates map[string]float64
	// responseTimes is the average response time of each service. This and the other
	// times are those at a pace of 1.
	responseTimes map[string]time.Duration
	// modelResponseTimes is the average time of a complete response of each
	// service that runs models.
	modelResponseTimes map[string]time.Duration
	// outputShares is the average output of each route as a share of the
	// maximum output tokens, tokenTimes the decode time of a token of each
	// model.
	outputShares map[string]float64
	tokenTimes   map[string]time.Duration
	// responseSpreads holds how long complete responses take.
	responseSpreads map[workClass]spread
	// recentWork holds what the recent responses of each class took, recentTokenTimes the decode times of a token in the
	// recent streams of each model.
	recentWork       map[workClass]*recentWork
	recentTokenTimes map[string]*recentValues
	// servedCounts counts how often each class of requests is served.
	servedCounts map[servedClass]servedCount
	// pauses holds the longest pauses of the recent streams of each route.
	pauses map[string]*pauseHistory
	// running holds the attempts in progress.
	running map[*Attempt]struct{}
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
	// OvertakenTime is the pending prefill of less urgent requests that the server runs after this
	// one.
	OvertakenTime time.Duration
	// UncachedTokens is the number of prompt tokens predicted to miss the prefix
	// cache, and PrefillTime their prefill time.
	UncachedTokens int
	PrefillTime    time.Duration
	// Load is the load of the server that the prediction assumed, Pace its pace.
	Load Load
	Pace float64
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
		pace := b.pace(now, e.ID)
		queueTime, overtaken := b.queueTimes(now, e, w)
		c := candidate{server: e, pace: pace, queueTime: queueTime + overtakingCost(overtaken) + scale(b.slotBacklog(e), pace) + b.extraPrefill(w, pace) + b.pausePenalty(w, pace) + b.penalty(now, e, w, kvTokens)}
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
