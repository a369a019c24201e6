package pick

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

const (
	// readRate is how many prompt tokens a server reads in a millisecond, by
	// the deployments' data sheets (38.4), less the steps of running requests
	// between the pieces.
	readRate = 32.0
	// runCost is what each running request adds to the time of a first token:
	// a step grows by microseconds a request, some tens of steps lie between.
	runCost = 300 * time.Microsecond
	// farCost is the price of another failure domain in time: one way and back,
	// and the bytes that cross.
	farCost = 4 * time.Millisecond
	// plainTime is the time of a request to a service without models until
	// answers have shown it; the data sheets say 15 to 30 ms.
	plainTime = 20 * time.Millisecond
	// keptShare is the part of a server's token memory that kept prompts are
	// taken to fill; running requests have the rest.
	keptShare = 0.7
	// ownerShare is how much of a shared prefix the server that it belongs to
	// is taken to keep before this VM has sent it there: other VMs have.
	ownerShare = 0.6
	// kvLimit is the filling of the token memory above which a server preempts
	// running streams, with room for what they still generate.
	kvLimit = 0.85
	// kvPenalty stands for the preemption that a request beyond kvLimit causes.
	kvPenalty = 2 * time.Second
	// faultHalfLife is how fast failures are forgiven: a restarted or mended
	// server is tried again within seconds.
	faultHalfLife = 3 * time.Second
	// faultCost is what a certain failure costs: the objective is missed, and
	// a request that must not run twice is lost.
	faultCost = 3 * time.Second
)

// Load is what a server carries from some callers.
type Load struct {
	// Running is the requests sent and not ended, Reading the prompt tokens of
	// those without a first event, Tokens the token memory of all.
	Running, Reading, Tokens int
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Running + o.Running, l.Reading + o.Reading, l.Tokens + o.Tokens}
}

// Minus returns sums without one VM's part, which is a little older or newer
// than the one in the sums.
func Minus(sums, part map[string]Load) map[string]Load {
	rest := make(map[string]Load, len(sums))
	for id, s := range sums {
		p := part[id]
		rest[id] = Load{max(s.Running-p.Running, 0), max(s.Reading-p.Reading, 0), max(s.Tokens-p.Tokens, 0)}
	}
	return rest
}

// state is the books of one server.
type state struct {
	own, others Load
	cache       cache
	faults      faults
	took        time.Duration
}

// faults is a moving share of failures, forgiven by time.
type faults struct {
	share float64
	at    time.Time
}

// now returns the share that is not forgiven yet.
func (f *faults) now(now time.Time) float64 {
	if f == nil || f.share == 0 {
		return 0
	}
	return f.share * math.Exp2(-now.Sub(f.at).Seconds()/faultHalfLife.Seconds())
}

func (f *faults) judge(now time.Time, v Verdict) {
	share := f.now(now)
	switch v {
	case Good:
		share -= goodWeight * share
	case Refused:
		share += refusedWeight * (1 - share)
	case Bad:
		share += badWeight * (1 - share)
	case Neutral:
		return
	}
	f.share, f.at = share, now
}

// Book keeps the books of all servers. Domain is the VM's failure domain; the
// rest of the zero value works. It is safe for use by several goroutines.
type Book struct {
	Domain string

	mu      sync.Mutex
	servers map[string]*state
	domains map[string]*faults
}

func (b *Book) state(id string) *state {
	s := b.servers[id]
	if s == nil {
		if b.servers == nil {
			b.servers = make(map[string]*state)
		}
		s = &state{}
		b.servers[id] = s
	}
	return s
}

// Choice is a server and when it is predicted to give its first event.
type Choice struct {
	Server    backs.Entry
	Predicted time.Duration
	// Missing is how many prompt tokens it is predicted to read.
	Missing int
	// Load is what the prediction took the server to carry.
	Load Load
}

// Choose returns the best of the candidates, leaving out those in tried. kv is
// a server's token memory, 0 when unknown.
func (b *Book) Choose(now time.Time, candidates []backs.Entry, w Work, kv int, tried []string) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	chain := w.chain()
	owner := ownerOf(candidates, w.shared(chain))
	var best Choice
	var bestCost time.Duration
	found := false
	for _, e := range candidates {
		if slices.Contains(tried, e.ID) {
			continue
		}
		c := b.predict(e, w, chain, e.ID == owner)
		cost := c.Predicted + b.penalty(now, e, w, kv)
		if !found || cost < bestCost || cost == bestCost && e.ID < best.Server.ID {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}

// ownerOf returns the server that a prefix belongs to.
func ownerOf(candidates []backs.Entry, prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	var owner string
	var best uint64
	for _, e := range candidates {
		if rank := rendezvous(e.ID, prefix); owner == "" || rank > best {
			owner, best = e.ID, rank
		}
	}
	return owner
}

func (b *Book) predict(e backs.Entry, w Work, chain []uint64, owner bool) Choice {
	s := b.state(e.ID)
	load := s.own.Plus(s.others)
	if w.Model == "" {
		return Choice{Server: e, Predicted: s.plainTime(load, e.Slots), Load: load}
	}
	hit := s.cache.hit(w, chain)
	if owner {
		hit = max(hit, int(ownerShare*float64(sharedTokens(w))))
	}
	missing := max(w.Prompt-hit, 1)
	return Choice{Server: e, Predicted: ReadTime(load.Reading+missing) + time.Duration(load.Running)*runCost, Missing: missing, Load: load}
}

// ReadTime returns how long a server takes to read prompt tokens.
func ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Millisecond))
}

func sharedTokens(w Work) int {
	tokens := 0
	for _, p := range w.Parts[:max(len(w.Parts)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}

// plainTime predicts the answer of a service without models: the rounds of
// requests ahead of this one, each of the usual time.
func (s *state) plainTime(load Load, slots int) time.Duration {
	took := s.took
	if took == 0 {
		took = plainTime
	}
	rounds := float64(load.Running+1) / float64(max(slots, 1))
	return time.Duration(float64(took) * math.Max(1, rounds) * (1 + 0.2*rounds))
}

// penalty is what speaks against a server beside its time: distance, recent
// failures and a token memory that is nearly full.
func (b *Book) penalty(now time.Time, e backs.Entry, w Work, kv int) time.Duration {
	s := b.state(e.ID)
	cost := time.Duration(s.faults.now(now) * float64(faultCost))
	if e.Domain != b.Domain {
		cost += farCost + time.Duration(b.domains[e.Domain].now(now)*float64(faultCost))
	}
	if need := s.own.Tokens + s.others.Tokens + w.Prompt + w.Output; w.Model != "" && kv > 0 && float64(need) > kvLimit*float64(kv) {
		cost += kvPenalty
	}
	if e.Cold > 0 {
		cost += plainTime
	}
	return cost
}

// Unreached notes that no connection to a server could be made. When that
// happens to servers of a domain, the domain is likely cut off, and its other
// servers are avoided too.
func (b *Book) Unreached(now time.Time, e backs.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(e.ID).faults.judge(now, Bad)
	if e.Domain == b.Domain {
		return
	}
	if b.domains == nil {
		b.domains = make(map[string]*faults)
	}
	f := b.domains[e.Domain]
	if f == nil {
		f = &faults{}
		b.domains[e.Domain] = f
	}
	f.judge(now, Bad)
}

// Others replaces what the other VMs have at each server.
func (b *Book) Others(loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		s.others = loads[id]
	}
	for id, l := range loads {
		b.state(id).others = l
	}
}

// Own returns what this VM has at each server.
func (b *Book) Own() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[string]Load)
	for id, s := range b.servers {
		if s.own.Running > 0 {
			own[id] = s.own
		}
	}
	return own
}

// Retain forgets the servers that are not in the list and idle.
func (b *Book) Retain(known []backs.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		listed := slices.ContainsFunc(known, func(e backs.Entry) bool { return e.ID == id })
		if !listed && s.own.Running == 0 {
			delete(b.servers, id)
		}
	}
}
