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
	// readRate is how many prompt tokens of the largest model a server reads in
	// a millisecond until answers have shown it: by the deployments' data sheets
	// 38.4, less the steps of running requests between the pieces.
	readRate = 32.0
	// rateWeight is the weight of one answer in a model's learned rate, rateLeast
	// and rateMost its bounds, and rateTokens the prompt from which an answer
	// tells: below it the way and the first step outweigh the reading.
	rateWeight = 0.1
	rateLeast  = 8.0
	rateMost   = 400.0
	rateTokens = 200
	// runCost is what each running request adds to the time of a first token:
	// a step grows by microseconds a request, some tens of steps lie between.
	runCost = 300 * time.Microsecond
	// farCost is the price of another failure domain in time: one way and back,
	// and the bytes that cross.
	farCost = 4 * time.Millisecond
	// openCost is the price of a new connection in time: it holds a slot of the
	// server and takes a way and back and a millisecond of its work.
	openCost = 6 * time.Millisecond
	// plainTime is the time of a request to a service without models until
	// answers have shown it; the data sheets say 15 to 30 ms.
	plainTime = 20 * time.Millisecond
	// answerTime is the time of a whole answer of a model server until answers have shown
	// it, by the data sheets 0.3 s to 1.5 s, and answerWeight the weight of one answer:
	// kinds of requests differ by five times.
	answerTime   = 700 * time.Millisecond
	answerWeight = 0.02
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
	// faultCost is what a certain failure costs: the objective is missed, and
	// a request that must not run twice is lost.
	faultCost = 3 * time.Second
)

// Load is what a server carries from some callers.
type Load struct {
	// Running is the requests sent and not ended, Tokens the token memory that
	// they need.
	Running, Tokens int
	// Reading is how long the server needs to read the prompts of those without
	// a first event.
	Reading time.Duration
	// Adapters are those in use, as MODEL/ADAPTER. Sums leave them out.
	Adapters []string
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Reading: l.Reading + o.Reading, Tokens: l.Tokens + o.Tokens}
}

// Minus returns sums without one VM's part, which is a little older or newer
// than the one in the sums.
func Minus(sums, part map[string]Load) map[string]Load {
	rest := make(map[string]Load, len(sums))
	for id, s := range sums {
		p := part[id]
		rest[id] = Load{Running: max(s.Running-p.Running, 0), Reading: max(s.Reading-p.Reading, 0), Tokens: max(s.Tokens-p.Tokens, 0)}
	}
	return rest
}

// state is the books of one server.
type state struct {
	own, others Load
	cache       cache
	faults      faults
	took        time.Duration
	// adapters counts the requests that use each adapter.
	adapters map[string]int
}

func (s *state) use(w Work, n int) {
	if w.Adapter == "" {
		return
	}
	if s.adapters == nil {
		s.adapters = make(map[string]int)
	}
	name := w.Model + "/" + w.Adapter
	if s.adapters[name] += n; s.adapters[name] <= 0 {
		delete(s.adapters, name)
	}
}

// Book keeps the books of all servers. Domain is the VM's failure domain; the
// rest of the zero value works. It is safe for use by several goroutines.
type Book struct {
	Domain string
	// Seed sets the VM's chance apart from that of the others.
	Seed uint64
	// Idle reports whether a connection to a server is kept; nil for always.
	Idle func(id string) bool

	mu      sync.Mutex
	servers map[string]*state
	// told is when the load of the others was told, turn counts the requests
	// that chance decided on.
	told    time.Time
	turn    uint64
	domains map[string]*faults
	// rates is how many prompt tokens of a model are read in a millisecond, as
	// answers of idle servers have shown.
	rates map[string]float64
	// took is the usual time of an answer of each service.
	took map[string]time.Duration
	// answers is the usual time of a whole answer of each service that runs models.
	answers map[string]time.Duration
	// lengths is how much of the most output the answers of a route have, steps the
	// time of a token of a model.
	lengths map[string]float64
	steps   map[string]time.Duration
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
	// Queue is the part of it before the server reads this request.
	Queue time.Duration
	// Missing is how many prompt tokens it is predicted to read, and Reading how
	// long that takes.
	Missing int
	Reading time.Duration
	// Load is what the prediction took the server to carry.
	Load Load
}

// Choose returns the best of the candidates, leaving out those in tried. kv is
// a server's token memory, 0 when unknown.
func (b *Book) Choose(now time.Time, candidates []backs.Entry, w Work, kv int, tried []string) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.Model != "" {
		return b.chooseModel(now, candidates, w, kv, tried)
	}
	var best Choice
	var bestCost time.Duration
	found := false
	for _, e := range candidates {
		if slices.Contains(tried, e.ID) {
			continue
		}
		c := b.predict(now, e, w, nil, false)
		cost := c.Predicted + b.penalty(now, e, w, kv)
		if !found || cost < bestCost || cost == bestCost && e.ID < best.Server.ID {
			best, bestCost, found = c, cost, true
		}
	}
	return best, found
}

// chooseModel spreads the requests for a model over the servers that hold it.
func (b *Book) chooseModel(now time.Time, candidates []backs.Entry, w Work, kv int, tried []string) (Choice, bool) {
	chain := w.chain()
	key, open := w.shared(chain), time.Duration(0)
	if sharedTokens(w) < prefixFrom {
		key, open = b.chance(), openCost
	}
	options := make([]option, 0, len(candidates))
	for _, e := range candidates {
		if slices.Contains(tried, e.ID) {
			continue
		}
		o := option{entry: e, queue: b.queue(now, e) + b.crowding(e) + b.penalty(now, e, w, kv)}
		if !b.kept(e) {
			o.queue += open
		}
		options = append(options, o)
	}
	if len(options) == 0 {
		return Choice{}, false
	}
	chosen := options[spread(options, key)]
	return b.predict(now, chosen.entry, w, chain, true), true
}

// queue is the time that a server needs for what it has to read already. What the
// other VMs told of has been worked on since.
func (b *Book) queue(now time.Time, e backs.Entry) time.Duration {
	s := b.state(e.ID)
	others := max(s.others.Reading-now.Sub(b.told), 0)
	return s.own.Reading + others + time.Duration(s.own.Running+s.others.Running)*runCost
}

// crowding is the time that a server needs for the answers of what it runs, each of which
// takes one of its slots. Requests are spread so that reading and answers together are
// level: by reading alone, of two servers with short prompts the one whose slots are taken
// looks as good as the one that is empty, and requests wait for a slot there.
func (b *Book) crowding(e backs.Entry) time.Duration {
	if e.Slots == 0 {
		return 0
	}
	s := b.state(e.ID)
	return time.Duration(s.own.Running+s.others.Running) * b.usualAnswer(e.Service) / time.Duration(e.Slots)
}

// usualAnswer returns how long the whole answer of a model server usually takes.
func (b *Book) usualAnswer(service string) time.Duration {
	return cmp.Or(b.answers[service], answerTime)
}

func (b *Book) predict(now time.Time, e backs.Entry, w Work, chain []uint64, owner bool) Choice {
	s := b.state(e.ID)
	load := s.own.Plus(s.others)
	if w.Model == "" {
		return Choice{Server: e, Predicted: s.plainTime(b.took[e.Service], load, e.Slots), Load: load}
	}
	hit := s.cache.hit(w, chain)
	if owner {
		hit = max(hit, int(ownerShare*float64(sharedTokens(w))))
	}
	missing := max(w.Prompt-hit, 1)
	reading := time.Duration(float64(missing) / b.rate(w) * float64(time.Millisecond))
	queue := b.queue(now, e)
	return Choice{Server: e, Missing: missing, Queue: queue, Reading: reading, Load: load, Predicted: queue + reading}
}

// rate returns how many prompt tokens of the work's model are read in a
// millisecond. Before answers have shown it, larger models are taken to be
// slower in proportion.
func (b *Book) rate(w Work) float64 {
	if r, ok := b.rates[w.Model]; ok {
		return r
	}
	if w.Size > 0 {
		return min(readRate/w.Size, rateMost)
	}
	return readRate
}

// learn takes in that an idle server read prompt tokens of a model in a time.
func (b *Book) learn(w Work, tokens int, took time.Duration) {
	if took -= firstStep; tokens < rateTokens || took <= 0 {
		return
	}
	if b.rates == nil {
		b.rates = make(map[string]float64)
	}
	shown := min(max(float64(tokens)/(took.Seconds()*1000), rateLeast), rateMost)
	rate := b.rate(w)
	b.rates[w.Model] = rate + rateWeight*(shown-rate)
}

func sharedTokens(w Work) int {
	tokens := 0
	for _, p := range w.Parts[:max(len(w.Parts)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}

// plainTime predicts the answer of a service without models: the rounds of
// requests ahead of this one, each of the usual time. A server that has not
// answered yet is taken to be like the others, so that it is tried.
func (s *state) plainTime(usual time.Duration, load Load, slots int) time.Duration {
	took := s.took
	if took == 0 {
		took = usual
	}
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
	if e.WarmupRemaining > 0 {
		cost += plainTime
	}
	if w.Model == "" && !b.kept(e) {
		cost += openCost
	}
	return cost
}

// kept reports whether a connection to a server is kept.
func (b *Book) kept(e backs.Entry) bool { return b.Idle == nil || b.Idle(e.ID) }

// Others replaces what the other VMs have at each server, as of now.
func (b *Book) Others(now time.Time, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = now
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
			l := s.own
			l.Adapters = slices.Collect(maps.Keys(s.adapters))
			own[id] = l
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
