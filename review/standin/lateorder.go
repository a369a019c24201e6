//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The disturbances of the script: a server's order gets no answer and is carried out late, and the server crashes and
// starts again under the id that it had.
const (
	// orderDelay is when an unanswered order is carried out: 2 to 12 s later.
	orderDelay = 9 * time.Second
	// lateSpan is how long the disturbance lasts, in which a share of the orders gets no answer, 0.35 at most.
	lateSpan     = 5500 * time.Millisecond
	maxLateShare = 0.35
	// crashAfter is when the server crashes after the order.
	crashAfter = 300 * time.Millisecond
)

// lateOrders has one order go unanswered while the disturbance lasts: an adapter load, once enough other orders were
// answered that it is within the share.
type lateOrders struct {
	mu     sync.Mutex
	until  time.Time
	orders int
	done   bool
	// found gets the server of the unanswered order.
	found chan *engineServer
}

func (l *lateOrders) begin() chan *engineServer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until, l.orders, l.done, l.found = time.Now().Add(lateSpan), 0, false, make(chan *engineServer, 1)
	return l.found
}

func (l *lateOrders) late(s *engineServer, o order) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !time.Now().Before(l.until) {
		return 0, false
	}
	l.orders++
	if l.done || o.Operation != "model_load" || o.Adapter == "" || 1/float64(l.orders) > maxLateShare {
		return 0, false
	}
	l.done = true
	l.found <- s
	return orderDelay, true
}

// lateOrderAfterRestart has a model server restart under its id while an order to it is under way, and returns whether
// the order was carried out in addition to those to the new process, beyond what the server holds.
func lateOrderAfterRestart(folder string, rec *record, trouble bool) bool {
	const (
		service, host, prefix = "huvo11a", "ficu95.example", "/lohu930/"
		servers, nodes        = 6, 3
		adapterSlots          = 8
		adapters              = 12
		weightsMB             = 100000.0
		settle                = 12 * time.Second
		rounds                = 3
		roundTime             = 22 * time.Second
		rareFor               = 3 * time.Second
		every                 = 25 * time.Millisecond
		budget                = 5 * time.Second
	)
	st := newStore()
	l := mustListen()
	go st.serve(l)
	zones := []string{"kumamoto-a", "fukuoka-b", "kagoshima-c"}
	spec := modelSpec{weightsMB: 72700, adapterMB: 66, load: 1200 * time.Millisecond, diskLoad: 520 * time.Millisecond}
	specs := make(map[string]modelSpec)
	models, listed := []string{}, []any{}
	for i := range servers {
		name := fmt.Sprintf("daka51%04d", i)
		models, specs[name] = append(models, name), spec
		listed = append(listed, map[string]any{
			"Name": name, "WeightsMb": spec.weightsMB, "LoadTimeS": spec.load.Seconds(), "Adapters": adapters, "AdapterSizeMb": spec.adapterMB,
			"WarmS": 0.4, "DiskLoadS": spec.diskLoad.Seconds(),
		})
	}
	late := &lateOrders{}
	all := make([]*engineServer, 0, servers)
	for i, model := range models {
		s := &engineServer{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: service, zone: zones[i%len(zones)], slots: 64, weightsMB: weightsMB, adapterSlots: adapterSlots,
			specs: specs, events: func() int { return 5 }, eventTime: 20 * time.Millisecond, late: late.late, store: st, record: rec,
		}
		s.start(model)
		all = append(all, s)
	}
	st.set("config", "main", map[string]any{
		"Version": 7,
		"RouteTable": []any{map[string]any{
			"Name": "r-1", "Hostname": host, "PathPrefix": prefix, "RouteType": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 800, "Priority": 1,
			"Service": service, "MaxAttempts": 1, "SessionAffinity": true, "Resumable": false, "TargetGapMs": 300,
		}},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 720, "Engine": map[string]any{
			"Slots": 64, "KvCapacity": 167040, "KvTokenBytes": 327680, "Stride": 5, "Cap": 12, "Models": listed, "WeightsMb": weightsMB,
			"AdapterSlots": adapterSlots, "LoadsPerS": 13,
		}}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	})
	consumers := make([]*consumer, 0, nodes)
	for i := range nodes {
		n := newNode(folder, fmt.Sprintf("edge-%s-1", zones[i]), zones[i], l.Addr().String())
		if err := n.start(); err != nil {
			couldNotRun("start: %v", err)
		}
		consumers = append(consumers, newConsumer(n, host, rec))
	}
	for _, n := range started {
		if !n.awaitReady(20 * time.Second) {
			couldNotRun("a node is not ready")
		}
	}
	load := &modelLoad{consumers: consumers, path: prefix + "2f", models: models, usual: adapterSlots, budget: budget, rng: rand.New(rand.NewPCG(62, 3))}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { load.run(every, stop) })
	time.Sleep(settle)
	for round := range rounds {
		begun := time.Now()
		// Users ask for an adapter of each of two models that is not loaded, for some seconds.
		rare := []string{}
		for _, model := range models[2*round : 2*round+2] {
			rare = append(rare, fmt.Sprintf("%s/a%d", model, adapters))
		}
		rec.line("users begin to ask for %v", rare)
		load.setRare(rare)
		var found chan *engineServer
		if trouble {
			found = late.begin()
		}
		select {
		case s := <-found:
			time.Sleep(crashAfter)
			rec.line("server %s crashes", s.id)
			s.crash()
			time.AfterFunc(downFor, func() { s.restart() })
		case <-time.After(lateSpan):
		}
		time.Sleep(time.Until(begun.Add(rareFor)))
		load.setRare(nil)
		rec.line("users no longer ask for them")
		time.Sleep(time.Until(begun.Add(roundTime)))
	}
	close(stop)
	wait.Wait()
	over := 0
	for _, s := range all {
		s.mu.Lock()
		over += s.overLimit
		s.mu.Unlock()
	}
	rec.say("%d requests sent, %d served, %d orders were carried out beyond what a server holds", load.sent, load.served.Load(), over)
	if load.served.Load() < int64(load.sent)/10 {
		couldNotRun("only %d of %d requests were served", load.served.Load(), load.sent)
	}
	return over > 0
}
