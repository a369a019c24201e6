//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The burst of the site file's day quiet-1, and the machines of the site.
const (
	burstFactor   = 2.7
	burstFor      = 3 * time.Second
	siteMemoryMB  = 284
	siteLinkBytes = 1000e6 / 8
	// maxBodyBytes is MaxBodyBytes of the manifest.
	maxBodyBytes = 4194304
)

// link is a machine's own link: it lets through so many bytes a second.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// wait waits until n bytes have passed.
func (l *link) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / siteLinkBytes * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// upload is the body of a request, which arrives over a machine's link.
type upload struct {
	link *link
	left int
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), u.left, 16<<10)
	u.link.wait(n)
	u.left -= n
	for i := range p[:n] {
		p[i] = 'b'
	}
	return n, nil
}

// machine is a node with the platform's part of it: it is killed above its memory limit, and started again.
type machine struct {
	*node
	link   *link
	ended  atomic.Int64
	peakKB atomic.Int64
	// stopped ends watch, which then closes done.
	stopped, done chan struct{}
}

// watch ends the process when it has more memory than its machine, and starts it again, as the platform does.
func (m *machine) watch(rec *record) {
	defer close(m.done)
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(10 * time.Millisecond):
		}
		kb := residentKB(m.cmd.Process.Pid)
		m.peakKB.Store(max(m.peakKB.Load(), kb))
		if kb <= siteMemoryMB<<10 {
			continue
		}
		rec.say("the process on %s has %d MB of %d MB: it is ended", m.name, kb>>10, siteMemoryMB)
		m.kill()
		m.ended.Add(1)
		time.Sleep(time.Second)
		if err := m.start(); err != nil {
			couldNotRun("start again: %v", err)
		}
		rec.line("the process on %s starts again", m.name)
	}
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb
		}
	}
	return 0
}

// uploadsAtOnce has consumers send requests with bodies as long as the manifest allows, usualUsers at each machine at a
// time, and burstFactor times as many in a burst. It returns whether processes ended three times on two machines.
func uploadsAtOnce(folder string, rec *record, trouble bool) bool {
	const (
		service, host, prefix = "huvo11a", "ficu95.example", "/puxa403/"
		usualUsers            = 30
		length                = 95 * time.Second
		firstBurst            = 10 * time.Second
		burstEvery            = 20 * time.Second
		budget                = 12 * time.Second
		machines              = 2
	)
	st := newStore()
	l := mustListen()
	go st.serve(l)
	runs := &runLog{runs: make(map[string][]string)}
	for i := range 4 {
		s := &server{
			id: fmt.Sprintf("i-%04d", i+1), service: service, zone: "alkapuri", slots: 64, queue: 64, answerBytes: 800, runs: runs, record: rec,
			work: func() time.Duration { return 20 * time.Millisecond },
		}
		s.start(st)
	}
	st.set("config", "main", map[string]any{
		"Version":    3,
		"RouteTable": []any{map[string]any{"Name": "r-1", "Hostname": host, "PathPrefix": prefix, "RouteType": "safe", "TimeoutMs": 12000, "TargetLatencyMs": 4000, "Priority": 1, "Service": service, "MaxAttempts": 1}},
		"Services":   []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 360}},
		"Limits":     map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	})
	var all []*machine
	for i := range machines {
		m := &machine{node: newNode(folder, fmt.Sprintf("edge-alkapuri-%d", i+1), "alkapuri", l.Addr().String()), link: new(link), stopped: make(chan struct{}), done: make(chan struct{})}
		m.memoryMB = siteMemoryMB
		if err := m.start(); err != nil {
			couldNotRun("start: %v", err)
		}
		all = append(all, m)
	}
	for _, m := range all {
		if !m.awaitReady(20 * time.Second) {
			couldNotRun("a node is not ready")
		}
		go m.watch(rec)
	}
	var sent, served, refused, failed, id atomic.Int64
	begun := time.Now()
	inBurst := func() bool {
		since := time.Since(begun) - firstBurst
		return trouble && since >= 0 && since%burstEvery < burstFor
	}
	var wait sync.WaitGroup
	for _, m := range all {
		for user := range int(usualUsers * burstFactor) {
			wait.Go(func() {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, WriteBufferSize: 32 << 10}}
				for time.Since(begun) < length {
					if user >= usualUsers && !inBurst() {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					name := attemptID(int(id.Add(1)))
					sent.Add(1)
					status := sendUpload(client, m, host, prefix, name, budget)
					rec.line("consumer got %d for %s from %s", status, name, m.name)
					switch status {
					case http.StatusOK:
						served.Add(1)
					case http.StatusServiceUnavailable:
						refused.Add(1)
						time.Sleep(500 * time.Millisecond)
					default:
						failed.Add(1)
						time.Sleep(500 * time.Millisecond)
					}
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
	}
	wait.Wait()
	often := 0
	for _, m := range all {
		close(m.stopped)
		<-m.done
		rec.say("%s: its process ended %d times, most memory %d MB of %d MB", m.name, m.ended.Load(), m.peakKB.Load()>>10, siteMemoryMB)
		if m.ended.Load() >= 3 {
			often++
		}
	}
	rec.say("%d requests sent, %d served, %d refused, %d failed", sent.Load(), served.Load(), refused.Load(), failed.Load())
	if served.Load() < sent.Load()/10 {
		couldNotRun("only %d of %d requests were served", served.Load(), sent.Load())
	}
	return often >= 2
}

func sendUpload(client *http.Client, m *machine, host, prefix, id string, budget time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.listen+prefix+"2f", io.NopCloser(&upload{link: m.link, left: maxBodyBytes}))
	if err != nil {
		return 0
	}
	req.ContentLength = maxBodyBytes
	req.Host = host
	req.Header.Set(headerAttempt, id)
	req.Header.Set(headerDeadline, strconv.FormatInt(budget.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
