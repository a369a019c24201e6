//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The bounds of the site.
const (
	graceTime = 8 * time.Second
	// excusedAfterStop is the time after a SIGTERM until which a request may be sent that is cut off in the last part of the
	// grace time. excuseMargin is added to it, for the time between the signal and its record.
	excusedAfterStop = 3 * time.Second
	excuseMargin     = 50 * time.Millisecond
	// restartDelay is how long a machine is down, stopGap the pause before the next one is stopped.
	restartDelay = time.Second
	stopGap      = time.Second
)

// balancer sends new connections to the nodes that are in rotation, as the platform does: it asks each once a second, and
// two questions in a row without a 200 take it out.
type balancer struct {
	nodes []*node

	mu     sync.Mutex
	misses map[*node]int
}

func (b *balancer) run(stop chan struct{}) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, n := range b.nodes {
			go func() {
				resp, err := client.Get("http://" + n.ready + "/readyz")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				if b.misses[n]++; ok {
					b.misses[n] = 0
				}
			}()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// choose returns the node for a new connection: one of those in rotation, or of all if less than half are.
func (b *balancer) choose() *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := []*node{}
	for _, n := range b.nodes {
		if b.misses[n] < 2 {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(b.nodes) {
		in = b.nodes
	}
	return in[rand.IntN(len(in))]
}

// attempt is what is known of one request.
type attempt struct {
	node       *node
	sent, over time.Time
	// whole is set if its answer was whole, ran if a server ran it, finished if that had written its whole answer.
	whole, ran, finished bool
	status               int
	err                  error
}

// attempts holds all attempts, by their IDs.
type attempts struct {
	mu   sync.Mutex
	list map[string]*attempt
	last int
}

func (a *attempts) add(n *node) (string, *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	id := attemptID(a.last)
	a.list[id] = &attempt{node: n}
	return id, a.list[id]
}

func (a *attempts) ended(id string, whole bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.list[id]; t != nil {
		t.ran, t.finished = true, whole
	}
}

// user is a consumer that keeps its connection open for many requests.
type user struct {
	balancer   *balancer
	attempts   *attempts
	host, path string
	models     []string
	budget     time.Duration
	record     *record
	rng        *rand.Rand

	node   *node
	conn   net.Conn
	reader *bufio.Reader
}

// run sends requests with pauses between them, until stop is closed.
func (u *user) run(stop chan struct{}, maxPause time.Duration) {
	for {
		select {
		case <-stop:
			u.close()
			return
		case <-time.After(time.Duration(u.rng.Float64() * float64(maxPause))):
		}
		u.send()
	}
}

func (u *user) close() {
	if u.conn != nil {
		_ = u.conn.Close()
		u.conn = nil
	}
}

// send sends one request on the kept connection, or on a new one if that was closed.
func (u *user) send() {
	if u.conn != nil && closed(u.conn, u.reader) {
		u.close()
	}
	for u.conn == nil {
		u.node = u.balancer.choose()
		c, err := net.DialTimeout("tcp", u.node.listen, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		u.conn, u.reader = c, bufio.NewReader(c)
	}
	id, a := u.attempts.add(u.node)
	body := bytes.Repeat([]byte("p"), 1400)
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n", u.path, u.host, headerAttempt, id, headerModel, u.models[u.rng.IntN(len(u.models))])
	fmt.Fprintf(&b, "X-Hibiscuscart-Token-Usage: 543,954\r\nX-Hibiscuscart-Prompt-Prefix: 5c1e07a2:103,%s:440\r\n", id[8:])
	fmt.Fprintf(&b, "%s: %d\r\nContent-Length: %d\r\n\r\n%s", headerDeadline, u.budget.Milliseconds(), len(body), body)
	_ = u.conn.SetDeadline(time.Now().Add(u.budget))
	_, err := u.conn.Write(b.Bytes())
	sent := time.Now()
	u.record.line("consumer sends %s to %s", id, u.node.name)
	status, keep := 0, false
	if err == nil {
		status, keep, err = u.readAnswer()
	}
	u.attempts.mu.Lock()
	a.sent, a.over, a.status, a.err, a.whole = sent, time.Now(), status, err, err == nil
	u.attempts.mu.Unlock()
	if err != nil {
		u.record.line("consumer got no whole answer to %s (%d): %v", id, status, err)
	} else {
		u.record.line("consumer got %d for %s, whole", status, id)
	}
	if !keep {
		u.close()
	}
}

func (u *user) readAnswer() (status int, keep bool, err error) {
	resp, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return resp.StatusCode, false, err
	}
	return resp.StatusCode, !resp.Close, nil
}

// closed reports whether a kept connection was closed by its node.
func closed(c net.Conn, r *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := r.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// stopped is a stop of a node.
type stopped struct {
	node *node
	at   time.Time
}

// rollingStops stops the nodes in turn with a SIGTERM, and starts them again, as the platform does.
func rollingStops(nodes []*node, rec *record, stop chan struct{}) []stopped {
	var stops []stopped
	for i := 0; ; i++ {
		n := nodes[i%len(nodes)]
		select {
		case <-stop:
			return stops
		default:
		}
		rec.line("%s gets SIGTERM", n.name)
		stops = append(stops, stopped{n, time.Now()})
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-n.exited:
		case <-time.After(graceTime):
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
		rec.line("%s has ended", n.name)
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			couldNotRun("start again: %v", err)
		}
		rec.line("%s starts again", n.name)
		if !n.awaitReady(10 * time.Second) {
			rec.line("%s is not ready after 10 s", n.name)
		}
		time.Sleep(stopGap)
	}
}

// stopsInTurn has nodes stopped in turn while consumers send streams, and returns whether a request was lost that was sent
// later than the excuse of the rule allows.
func stopsInTurn(folder string, rec *record, trouble bool) bool {
	const (
		service, host    = "huvo11a", "ch2cf3.example"
		zone             = "almaty-a"
		nodeCount, rolls = 30, 10
		servers, users   = 10, 2000
		maxPause         = 12 * time.Second
		length           = 100 * time.Second
		budget           = 12 * time.Second
		// The kind of request draft-confirm: the number of its events, which are 6 tokens each, and a step takes 4.43 ms
		// and 0.0194 ms for each request that runs.
		meanEvents, spreadEvents, maxEvents = 46.6, 0.7, 159
		eventTime                           = 29 * time.Millisecond
	)
	st := newStore()
	l := mustListen()
	go st.serve(l)
	specs, listed, models := make(map[string]modelSpec), []any{}, []string{}
	for i := range 3 {
		name := fmt.Sprintf("daka51%04d", i)
		models, specs[name] = append(models, name), modelSpec{weightsMB: 72700, load: 5 * time.Second, diskLoad: time.Second}
		listed = append(listed, map[string]any{"Name": name, "WeightsMb": 72700, "LoadTimeS": 5, "Adapters": 0, "AdapterSizeMb": 66, "WarmS": 0.8, "DiskLoadS": 1})
	}
	all := &attempts{list: make(map[string]*attempt)}
	var rngMu sync.Mutex
	rng := rand.New(rand.NewPCG(62, 4))
	events := func() int {
		rngMu.Lock()
		defer rngMu.Unlock()
		n := math.Exp(math.Log(meanEvents) - spreadEvents*spreadEvents/2 + spreadEvents*rng.NormFloat64())
		return int(min(max(math.Round(n), 1), maxEvents))
	}
	for i := range servers {
		s := &engineServer{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: service, zone: zone, slots: 48, weightsMB: 220000, adapterSlots: 8, specs: specs,
			events: events, eventTime: eventTime, ended: all.ended, store: st, record: rec,
		}
		s.start(models...)
	}
	prefixes, routes := []string{"/hw4z9fcj/", "/goye821/", "/28qr27z2t/"}, []any{}
	for i, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("r-%d", i+1), "Hostname": host, "PathPrefix": prefix, "RouteType": "streaming", "TimeoutMs": 12000, "TargetLatencyMs": 300,
			"Priority": 1, "Service": service, "MaxAttempts": 1, "SessionAffinity": true, "Resumable": false, "TargetGapMs": 150,
		})
	}
	st.set("config", "main", map[string]any{
		"Version":    7,
		"RouteTable": routes,
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 310, "Engine": map[string]any{
			"Slots": 48, "KvCapacity": 129058, "KvTokenBytes": 163840, "Stride": 6, "Cap": 12, "Models": listed, "WeightsMb": 220000,
			"AdapterSlots": 8, "LoadsPerS": 1.8,
		}}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	nodes := make([]*node, 0, nodeCount)
	for i := range nodeCount {
		n := newNode(folder, fmt.Sprintf("edge-almaty-a-%d", i+1), zone, l.Addr().String())
		if err := n.start(); err != nil {
			couldNotRun("start: %v", err)
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if !n.awaitReady(20 * time.Second) {
			couldNotRun("a node is not ready")
		}
	}
	stop, stopRolls := make(chan struct{}), make(chan struct{})
	b := &balancer{nodes: nodes, misses: make(map[*node]int)}
	go b.run(stop)
	var wait, waitRolls sync.WaitGroup
	for i := range users {
		u := &user{
			balancer: b, attempts: all, host: host, path: prefixes[i%len(prefixes)] + "2f", models: models, budget: budget, record: rec, rng: rand.New(rand.NewPCG(62, uint64(100+i))),
		}
		wait.Go(func() { u.run(stop, maxPause) })
	}
	time.Sleep(6 * time.Second)
	var stops []stopped
	var stopsMu sync.Mutex
	for i := range rolls {
		if !trouble {
			break
		}
		part := nodes[i*nodeCount/rolls : (i+1)*nodeCount/rolls]
		waitRolls.Go(func() {
			list := rollingStops(part, rec, stopRolls)
			stopsMu.Lock()
			defer stopsMu.Unlock()
			stops = append(stops, list...)
		})
	}
	time.Sleep(length - 14*time.Second)
	close(stopRolls)
	waitRolls.Wait()
	close(stop)
	wait.Wait()
	time.Sleep(500 * time.Millisecond)
	return judgeStops(all, stops, rec)
}

// judgeStops returns whether the rule was broken: a node had passed a request on to a server that was still at work, and the
// connection ended without a whole answer, though the request was sent later after the SIGTERM than is excused.
func judgeStops(all *attempts, stops []stopped, rec *record) bool {
	var lost atomic.Int64
	served, refused, cutExcused, cutOther := 0, 0, 0, 0
	all.mu.Lock()
	defer all.mu.Unlock()
	for id, a := range all.list {
		switch {
		case a.whole && a.status == http.StatusOK:
			served++
			continue
		case a.whole:
			refused++
			continue
		case !a.ran || a.finished:
			cutOther++
			continue
		}
		counted := false
		for _, s := range stops {
			after := a.sent.Sub(s.at)
			if s.node != a.node || after < 0 || after > graceTime+time.Second {
				continue
			}
			counted = true
			if after <= excusedAfterStop+excuseMargin {
				cutExcused++
				continue
			}
			lost.Add(1)
			rec.say("LOST: %s was sent to %s %.2f s after its SIGTERM, ran at a server, and its connection ended %.2f s after it: %s",
				id, a.node.name, after.Seconds(), a.over.Sub(s.at).Seconds(), strings.TrimSpace(fmt.Sprint(a.err)))
		}
		if !counted {
			cutOther++
		}
	}
	rec.say("%d requests sent, %d served, %d refused or failed with an answer, %d lost, %d cut off within the excuse, %d without an answer for other reasons; %d stops",
		len(all.list), served, refused, lost.Load(), cutExcused, cutOther, len(stops))
	if served < len(all.list)/2 {
		couldNotRun("only %d of %d requests were served", served, len(all.list))
	}
	return lost.Load() > 0
}
