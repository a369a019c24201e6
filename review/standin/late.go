//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// The second answers of faulty servers, as the kind garble has them ("extra late"): over lateFor at a time, a share of
// the servers give a share of their answers twice, the second time late.
const (
	lateServers = 3 // of 5: a share of 0.6
	lateAnswers = 0.03
	lateFor     = 5 * time.Second
	lateEvery   = 6 * time.Second
)

// lateSecondAnswers sends at-most-once requests, in batches, to a service whose servers reject some of them for want of
// room. It returns whether a request ran twice. Requests that were answered as not run although they ran are told too.
func lateSecondAnswers(folder string, rec *record, trouble bool) bool {
	const (
		service, host, prefix = "huvo11a", "ficu95.example", "/puxa403/"
		length                = 104 * time.Second
		batchEvery            = 160 * time.Millisecond
		batch                 = 60
		budget                = 1000 * time.Millisecond
		nodes                 = 12
	)
	st := newStore()
	l := mustListen()
	go st.serve(l)
	rng, mu := rand.New(rand.NewPCG(62, 1)), new(sync.Mutex)
	var garbling atomic.Bool
	runs := &runLog{runs: make(map[string][]string)}
	for i := range 5 {
		s := &server{
			id: fmt.Sprintf("i-%04d", i+1), service: service, zone: "cesis", slots: 6, queue: 2, answerBytes: 800, runs: runs, record: rec,
			work: func() time.Duration { return spread(rng, mu, 30*time.Millisecond) },
		}
		if trouble && i < lateServers {
			s.secondAnswer = func() bool {
				mu.Lock()
				defer mu.Unlock()
				return garbling.Load() && rng.Float64() < lateAnswers
			}
		}
		s.start(st)
	}
	st.set("config", "main", map[string]any{
		"Version":    3,
		"RouteTable": []any{map[string]any{"Name": "r-1", "Hostname": host, "PathPrefix": prefix, "RouteType": "unsafe", "TimeoutMs": 1000, "TargetLatencyMs": 150, "Priority": 2, "Service": service, "MaxAttempts": 1}},
		"Services":   []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 560}},
		"Limits":     map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	})
	consumers := make([]*consumer, 0, nodes)
	for i := range nodes {
		n := newNode(folder, fmt.Sprintf("edge-cesis-%d", i+1), "cesis", l.Addr().String())
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
	time.Sleep(time.Second)
	go func() {
		for {
			garbling.Store(true)
			rec.line("servers begin to give some answers twice")
			time.Sleep(lateFor)
			garbling.Store(false)
			rec.line("servers end to give some answers twice")
			time.Sleep(lateEvery - lateFor)
		}
	}()
	var wait sync.WaitGroup
	var results sync.Map
	sent := 0
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(batchEvery) {
		for range batch {
			sent++
			id := attemptID(sent)
			c := consumers[sent%nodes]
			wait.Go(func() { results.Store(id, c.send(id, prefix+"2f", make([]byte, 600), budget)) })
		}
	}
	wait.Wait()
	time.Sleep(time.Second)
	twice, refused, served := 0, 0, 0
	for i := range sent {
		id := attemptID(i + 1)
		r, _ := results.Load(id)
		status := r.(result).status
		ran := runs.runs[id]
		if status == 200 {
			served++
		}
		if len(ran) > 1 {
			twice++
			rec.say("TWICE: %s ran %d times, at %v; its consumer got %d", id, len(ran), ran, status)
		}
		if (status == 503 || status == 429) && len(ran) > 0 {
			refused++
			rec.say("REFUSED, beside the rule of the case: %s was answered %d and ran at %v", id, status, ran)
		}
	}
	rec.say("%d requests sent, %d served, %d ran more than once, %d refused although they ran", sent, served, twice, refused)
	if served < sent/10 {
		couldNotRun("only %d of %d requests were served", served, sent)
	}
	return twice > 0
}
