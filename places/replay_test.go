package places

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// The load that the package addresses, in simulated time.
const (
	replayVMs        = 84
	replayServers    = 3
	replaySlots      = 6
	replayQueue      = 24
	replayProcessing = 60 * time.Millisecond
	replayObjective  = 300 * time.Millisecond
	replayLoadDelay  = 300 * time.Millisecond
	replayLoadPeriod = 100 * time.Millisecond
	replayHop        = time.Millisecond
	replayEndDelay   = 20 * time.Millisecond
	replayDuration   = 20 * time.Second
	replayCapacity   = replayServers * replaySlots / 0.060
	// replaySends bounds the sends of a request that servers reject.
	replaySends = 3
)

// way is how VMs decide where and when a request is sent.
type way int

const (
	standing way = iota // Each VM by its own picture.
	shares              // Each VM has an equal share of the capacity, and requests wait there for as long as the objective allows.
	owned               // An owner grants places.
)

// result counts requests by how they ended.
type result struct {
	arrived, inTime, late, refused, lost int
	// rejects counts the rejections by servers, failed the requests that ended with one.
	rejects, failed int
	// calls counts the calls for places, fallbacks the requests that were sent without one.
	calls, fallbacks int
	longestWait      time.Duration
}

func (r result) String() string {
	return fmt.Sprintf("arrived %d, in time %d, late %d, refused %d, failed %d, lost %d, rejections %d, calls %d, fallbacks %d, longest wait %v",
		r.arrived, r.inTime, r.late, r.refused, r.failed, r.lost, r.rejects, r.calls, r.fallbacks, r.longestWait)
}

// faults are the failures of a replay. The zero value is none.
type faults struct {
	// owner returns the number of the owner that a VM reaches, -1 for none.
	owner func(now time.Duration, vm int) int
	// slowOwner is how long an owner takes to answer.
	slowOwner time.Duration
	// lostEnds is the share of ends that are not reported.
	lostEnds float64
	// vmEnds is when VM 0 to 20 end, 0 for never.
	vmEnds time.Duration
	// serversLost is when all servers but one end, 0 for never.
	serversLost time.Duration
	// deadServer is when the first server stops accepting connections while it stays in the list, 0 for never.
	deadServer time.Duration
	// slow is how many times longer one server takes, 0 for 1.
	slow float64
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { l := len(*e) - 1; x := (*e)[l]; *e = (*e)[:l]; return x }

type simServer struct {
	running int
	waiting []func()
	gone    bool
}

type simVM struct {
	balancer       *pick.Balancer
	running        [replayServers]int
	ended          bool
	suspendedUntil time.Duration
	// nextSend is when the VM's share of the capacity allows the next request.
	nextSend time.Duration
}

type simRequest struct {
	vm, sends int
	arrived   time.Duration
	waited    time.Duration
	excluded  []string
	place     int
	owner     int
	key       uint64
	priority  int
}

type sim struct {
	now   time.Duration
	seq   int
	queue events
	// arrivals is the source of the arrivals, which are the same for all ways.
	arrivals, rng *rand.Rand
	way           way
	faults        faults
	servers       [replayServers]simServer
	vms           [replayVMs]simVM
	owners        [2]Owner
	// history is the load of each server, by replayLoadPeriod.
	history [][replayServers]int
	result  result
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, run})
}

var epoch = time.Unix(1_700_000_000, 0)

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func replay(w way, load float64, f faults) result {
	s := &sim{way: w, faults: f, arrivals: rand.New(rand.NewPCG(1, 2)), rng: rand.New(rand.NewPCG(3, 4))}
	for i := range s.vms {
		s.vms[i].balancer = &pick.Balancer{Seed: uint64(i), Domain: "d"}
	}
	s.owners[1].Seed = 1 << 20
	s.arrive(load)
	s.recordLoads()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *sim) arrive(load float64) {
	if s.now >= replayDuration {
		return
	}
	s.after(time.Duration(s.arrivals.ExpFloat64()/(load*replayCapacity)*float64(time.Second)), func() { s.arrive(load) })
	vm := s.arrivals.IntN(replayVMs)
	if s.vms[vm].ended {
		vm = replayVMs - 1 - vm
	}
	s.result.arrived++
	r := &simRequest{vm: vm, arrived: s.now, key: uint64(s.result.arrived), priority: s.arrivals.IntN(2)}
	s.choose(r)
}

// recordLoads tells the VMs the load of the others with its delay, and runs the failures in time.
func (s *sim) recordLoads() {
	if s.now >= replayDuration+2*time.Second {
		return
	}
	s.after(replayLoadPeriod, s.recordLoads)
	var loads [replayServers]int
	for i := range s.servers {
		loads[i] = s.servers[i].running + len(s.servers[i].waiting)
		s.servers[i].gone = s.faults.serversLost > 0 && s.now >= s.faults.serversLost && i > 0
	}
	s.history = append(s.history, loads)
	known := s.known()
	for i := range s.vms {
		vm := &s.vms[i]
		vm.ended = s.faults.vmEnds > 0 && s.now >= s.faults.vmEnds && i <= 20
		remote := make(map[string]pick.Load)
		for j := range known {
			remote[serverID(j)] = pick.Load{Running: max(known[j]-vm.running[j], 0)}
		}
		vm.balancer.SetRemoteLoads(s.clock(), remote)
	}
}

// known returns the loads that VMs know.
func (s *sim) known() [replayServers]int {
	return s.history[max(len(s.history)-1-int(replayLoadDelay/replayLoadPeriod), 0)]
}

func serverID(i int) string { return string(rune('a' + i)) }

// listed returns the list of servers.
func (s *sim) listed() []backs.Entry {
	var list []backs.Entry
	for i := range s.servers {
		if !s.servers[i].gone {
			list = append(list, backs.Entry{ID: serverID(i), Name: serverID(i), Service: "plain", Domain: "d", Slots: replaySlots})
		}
	}
	return list
}

func (s *sim) choose(r *simRequest) {
	switch s.way {
	case standing:
		s.chooseAlone(r)
	case shares:
		s.awaitShare(r)
	case owned:
		s.ask(r)
	}
}

// chooseAlone sends a request by the picture of its VM.
func (s *sim) chooseAlone(r *simRequest) {
	vm := &s.vms[r.vm]
	choice, ok := vm.balancer.Choose(s.clock(), s.listed(), pick.Work{Objective: replayObjective}, 0, r.excluded)
	if !ok {
		s.result.failed++
		return
	}
	s.send(r, choice)
}

// awaitShare sends a request at the time that the share of its VM allows.
func (s *sim) awaitShare(r *simRequest) {
	vm := &s.vms[r.vm]
	interval := time.Duration(float64(time.Second) * replayVMs / replayCapacity)
	at := max(vm.nextSend, s.now)
	if at+2*replayProcessing > r.arrived+replayObjective {
		s.result.refused++
		return
	}
	vm.nextSend = at + interval
	s.recordWait(r, at-s.now)
	s.after(at-s.now, func() { s.chooseAlone(r) })
}

// ask asks the owner for a place.
func (s *sim) ask(r *simRequest) {
	vm, owner := &s.vms[r.vm], 0
	if s.faults.owner != nil {
		owner = s.faults.owner(s.now, r.vm)
	}
	if s.now < vm.suspendedUntil {
		s.result.fallbacks++
		s.chooseAlone(r)
		return
	}
	s.result.calls++
	answered := owner >= 0 && 2*replayHop+s.faults.slowOwner <= 10*time.Millisecond
	if owner >= 0 {
		s.after(replayHop, func() {
			a := s.owners[owner].Ask(s.clock(), "plain", s.owned(), Request{
				Key: r.key, Priority: r.priority, Objective: replayObjective, Remaining: r.arrived + replayObjective - s.now, Avoid: r.excluded,
			})
			if answered {
				s.after(replayHop+s.faults.slowOwner, func() { s.answered(r, owner, a) })
			}
		})
	}
	if !answered {
		s.after(10*time.Millisecond, func() {
			vm.suspendedUntil = s.now + time.Second
			s.result.fallbacks++
			s.chooseAlone(r)
		})
	}
}

// owned returns the servers as an owner knows them.
func (s *sim) owned() []Server {
	var list []Server
	known := s.known()
	for i := range s.servers {
		if !s.servers[i].gone {
			list = append(list, Server{ID: serverID(i), Slots: replaySlots, Running: known[i]})
		}
	}
	return list
}

func (s *sim) answered(r *simRequest, owner int, a Answer) {
	switch {
	case a.Refused:
		s.result.refused++
	case a.Place == 0:
		s.recordWait(r, a.Wait)
		s.after(a.Wait, func() { s.ask(r) })
	default:
		r.place, r.owner = a.Place, owner
		vm := &s.vms[r.vm]
		for _, e := range s.listed() {
			if e.ID != a.Server {
				continue
			}
			choice, _ := vm.balancer.Choose(s.clock(), []backs.Entry{e}, pick.Work{}, 0, nil)
			s.send(r, choice)
			return
		}
		s.chooseAlone(r)
	}
}

// recordWait records that a request waits in its VM before it is sent.
func (s *sim) recordWait(r *simRequest, wait time.Duration) {
	r.waited += wait
	s.result.longestWait = max(s.result.longestWait, r.waited)
}

func (s *sim) send(r *simRequest, c pick.Choice) {
	server, index := &s.servers[c.Server.ID[0]-'a'], int(c.Server.ID[0]-'a')
	vm := &s.vms[r.vm]
	attempt := vm.balancer.Begin(s.clock(), c, pick.Work{}, 0)
	vm.running[index]++
	r.sends++
	sent := s.now
	end := func(result pick.Result) {
		vm.running[index]--
		attempt.End(s.clock(), result)
		took := s.now - sent
		if result != pick.Succeeded {
			took = 0
		}
		s.endPlace(r, took)
	}
	if s.faults.deadServer > 0 && s.now >= s.faults.deadServer && index == 0 {
		s.after(250*time.Millisecond, func() {
			end(pick.Failed)
			r.excluded = append(r.excluded, c.Server.ID)
			if r.sends >= replaySends {
				s.result.failed++
				return
			}
			s.choose(r)
		})
		return
	}
	s.after(replayHop, func() {
		if server.gone || server.running+len(server.waiting) >= replaySlots+replayQueue {
			s.result.rejects++
			s.after(replayHop, func() {
				end(pick.Refused)
				r.excluded = append(r.excluded, c.Server.ID)
				if r.sends >= replaySends {
					s.result.failed++
					return
				}
				s.choose(r)
			})
			return
		}
		run := func() {
			server.running++
			took := time.Duration(float64(replayProcessing) * (0.8 + 0.4*s.rng.Float64()))
			if s.faults.slow > 0 && index == 0 {
				took = time.Duration(float64(took) * s.faults.slow)
			}
			s.after(took, func() {
				server.running--
				if len(server.waiting) > 0 {
					next := server.waiting[0]
					server.waiting = server.waiting[1:]
					next()
				}
				s.after(replayHop, func() {
					if vm.ended {
						s.result.lost++
						return
					}
					end(pick.Succeeded)
					if s.now-r.arrived <= replayObjective {
						s.result.inTime++
					} else {
						s.result.late++
					}
				})
			})
		}
		if server.running < replaySlots {
			run()
		} else {
			server.waiting = append(server.waiting, run)
		}
	})
}

// endPlace reports the end of a place with its delay.
func (s *sim) endPlace(r *simRequest, took time.Duration) {
	place, owner := r.place, r.owner
	r.place = 0
	if place == 0 || s.rng.Float64() < s.faults.lostEnds {
		return
	}
	s.after(time.Duration(s.rng.Int64N(int64(replayEndDelay)))+replayHop, func() {
		s.owners[owner].End(s.clock(), []End{{Place: place, Took: took}})
	})
}

func (r result) total() int { return r.inTime + r.late + r.refused + r.failed + r.lost }

// Guards against an owner that serves fewer requests in time than VMs that decide alone or by shares, or that lets
// servers reject requests.
func TestReplayWays(t *testing.T) {
	for _, load := range []float64{0.7, 1.1, 3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			alone, shared, withOwner := replay(standing, load, faults{}), replay(shares, load, faults{}), replay(owned, load, faults{})
			t.Logf("standing: %v", alone)
			t.Logf("shares: %v", shared)
			t.Logf("owner: %v", withOwner)
			for _, r := range []result{alone, shared, withOwner} {
				require.Equal(t, r.arrived, r.total())
			}
			require.Zero(t, withOwner.rejects)
			require.Greater(t, withOwner.inTime, alone.inTime)
			require.Greater(t, withOwner.inTime, shared.inTime)
			require.LessOrEqual(t, withOwner.longestWait, replayObjective)
		})
	}
}
