//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	model = "daka510000"
	// The prefixes of the routes: two of streams, of which the second may be resumed, an unsafe and a safe one.
	pathConfirm, pathBatch, pathWrite, pathRead = "/confirm/", "/batch/", "/write/", "/read/"
)

// configure writes the manifest: the kinds of request of the sheet.
func (d *deployment) configure() {
	stream := func(name, prefix string, timeout, target float64, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": "api.example", "PathPrefix": prefix, "RouteType": "streaming", "TimeoutMs": timeout, "TargetLatencyMs": target,
			"TargetGapMs": 150, "Priority": attempts, "Service": "draft-llm", "MaxAttempts": attempts, "SessionAffinity": true, "Resumable": resumable,
		}
	}
	plain := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": "api.example", "PathPrefix": prefix, "RouteType": kind, "TimeoutMs": 5000, "TargetLatencyMs": 100,
			"Priority": 2, "Service": "registry-app", "MaxAttempts": attempts,
		}
	}
	d.store.set("config", "main", map[string]any{
		"Version": 1,
		"RouteTable": []any{
			stream("draft-confirm", pathConfirm, 12000, 300, 1, false), stream("draft-batch", pathBatch, 20000, 4000, 2, true),
			plain("trade-register", pathWrite, "unsafe", 1), plain("trade-lookup", pathRead, "safe", 2),
		},
		"Services": []any{
			map[string]any{"Name": "draft-llm", "HealthPath": "/healthz", "MaxConnections": 310, "Engine": map[string]any{
				"Slots": 48, "KvCapacity": 129058, "Stride": 6, "Cap": 4, "WeightsMb": 220000, "AdapterSlots": 8, "HostMemoryMb": 150000, "DiskMb": 450000, "LoadsPerS": 1.8,
				"Models": []any{map[string]any{"Name": model, "WeightsMb": 72700, "LoadTimeS": 5.8, "WarmS": 0.4, "DiskLoadS": 1.2, "Adapters": 0, "AdapterSizeMb": 66}},
			}},
			map[string]any{"Name": "registry-app", "HealthPath": "/healthz", "MaxConnections": 110},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
	})
}

// startAll starts three VMs and servers in three zones.
func (d *deployment) startAll() ([]*vm, error) {
	d.configure()
	var vms []*vm
	for i, zone := range []string{"almaty-a", "almaty-b", "almaty-c"} {
		d.startServer(fmt.Sprintf("i-llm%d", i), "draft-llm", zone, 48, []string{model})
		d.startServer(fmt.Sprintf("i-app%d", i), "registry-app", zone, 6, nil)
		vms = append(vms, d.startVM(fmt.Sprintf("edge-%s-1", zone), zone))
	}
	return vms, d.awaitReady(20 * time.Second)
}

// prompt returns the headers of a stream whose caller takes up to that many tokens.
func prompt(id string, tokens int) string {
	return fmt.Sprintf("%s: %s\r\nX-Hibiscuscart-Token-Usage: 291,%d\r\nX-Hibiscuscart-Prompt-Prefix: 5c1e07a2:55,%s:236\r\n", headerModel, model, tokens, id[:8])
}

// maxTokens is what callers of draft-confirm take at most: 159 events of 6 tokens, the longest answer of the sheet's site.
const maxTokens = 954

// stopLong stops a VM while a caller that has kept a connection to it asks for a long answer on a route whose answers were
// short lately.
func stopLong(d *deployment, trouble bool) (int, error) {
	vms, err := d.startAll()
	if err != nil {
		return 0, err
	}
	const (
		eventGap   = 30 * time.Millisecond
		shortTime  = 32  // events of a usual answer; the sheet has 47 on average
		longTime   = 159 // events of a long one, the longest of the site
		budget     = 12 * time.Second
		usualUntil = 20 * time.Second
	)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var all []outcome
	note := func(o outcome) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, o)
	}
	// Usual callers: eight at each VM, an answer of 32 events every two seconds or so.
	usualEnd := time.Now().Add(usualUntil)
	for k, v := range vms {
		for i := range 8 {
			wait.Go(func() {
				c, err := d.connect(v)
				for n := 0; err == nil && time.Now().Before(usualEnd); n++ {
					id := fmt.Sprintf("%02x%02x%04x00000001", k, i, n)
					d.expect(id, answer{events: shortTime, gap: eventGap})
					o := c.ask("POST", pathConfirm+"2f", id, prompt(id, maxTokens), budget)
					note(o)
					if o.closes || o.err != nil {
						return
					}
					time.Sleep(time.Duration(500+37*((i+n)%8)) * time.Millisecond)
				}
			})
		}
	}
	// Four callers that keep their connections to the first VM, and have asked once.
	var kept []*caller
	for i := range 4 {
		c, err := d.connect(vms[0])
		if err != nil {
			return 0, err
		}
		id := fmt.Sprintf("aa%02x000000000001", i)
		d.expect(id, answer{events: shortTime, gap: eventGap})
		note(c.ask("POST", pathConfirm+"2f", id, prompt(id, maxTokens), budget))
		kept = append(kept, c)
	}
	time.Sleep(time.Until(usualEnd.Add(-400 * time.Millisecond)))
	// Two batch drafts that are under way when the VM is stopped, and end long before it exits.
	for i := range 2 {
		c, err := d.connect(vms[0])
		if err != nil {
			return 0, err
		}
		wait.Go(func() {
			id := fmt.Sprintf("bb%02x000000000001", i)
			d.expect(id, answer{events: longTime, gap: eventGap})
			note(c.ask("POST", pathBatch+"2f", id, prompt(id, maxTokens), 20*time.Second))
		})
	}
	time.Sleep(400 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		vms[0].signal(syscall.SIGTERM)
		go func() {
			select {
			case <-vms[0].exited:
				d.log("%s has exited %.3f s after SIGTERM", vms[0].name, time.Since(stopped).Seconds())
			case <-time.After(graceS):
				vms[0].signal(syscall.SIGKILL)
			}
		}()
	}
	for i, c := range kept {
		time.Sleep(time.Until(stopped.Add(3100*time.Millisecond + time.Duration(i)*100*time.Millisecond)))
		wait.Go(func() {
			id := fmt.Sprintf("cc%02x000000000001", i)
			d.expect(id, answer{events: longTime, gap: eventGap})
			note(c.ask("POST", pathConfirm+"2f", id, prompt(id, maxTokens)+"X-Hibiscuscart-Length-Hint: 900\r\n", budget))
		})
	}
	wait.Wait()
	return d.judgeStop(all, stopped), nil
}

// judgeStop is rule LOST around planned work: a request that was sent later than three seconds after SIGTERM and passed on to
// a server that did not break off, within its time budget, ends without a complete answer.
func (d *deployment) judgeStop(all []outcome, stopped time.Time) int {
	lost, late := 0, 0
	for _, o := range all {
		sent := o.sentAt.Sub(stopped)
		if sent <= 3*time.Second || sent > graceS+time.Second {
			continue
		}
		late++
		runs, end := d.runsOf(o.id)
		if runs == 0 || o.complete || o.status == 503 || o.status == 408 {
			continue
		}
		lost++
		d.log("LOST: %s, sent to %s %.3f s after SIGTERM, run %d times (%s), ended after %.3f s: status %d, %d events, %v",
			o.id, o.vm, sent.Seconds(), runs, end, o.endedAt.Sub(o.sentAt).Seconds(), o.status, o.events, o.err)
	}
	d.log("%d requests in all, %d of them sent later than 3 s after SIGTERM, %d lost", len(all), late, lost)
	if lost > 0 {
		return broken
	}
	return held
}
