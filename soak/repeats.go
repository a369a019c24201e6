package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// repeatSilenceInterval is the average time between two silences of a server while refusals are repeated.
	repeatSilenceInterval = 2 * time.Second
	// repeatRejections is how many requests the servers of a service reject in each rejectInterval, so that some sends of a
	// request are rejected and a later one runs.
	repeatRejections = 3
	rejectInterval   = 20 * time.Millisecond
	// repeatsSettleTime is how long a request may still run after its answer.
	repeatsSettleTime = time.Second
)

// checkRepeats has the servers reject some requests and be silent now and then, and their proxies repeat the refusals.
// It guards against a request that runs twice, or is refused though it runs, as the refusal of an earlier send is taken
// for that of the present one.
func (r *run) checkRepeats(ctx context.Context) {
	for _, p := range r.proxies() {
		p.SetRepeats(true)
	}
	r.setSilences(repeatSilenceInterval)
	kinds := slices.DeleteFunc(slices.Clone(demo.SiteRequestKinds), func(k demo.RequestKind) bool { return !k.AtMostOnce })
	sendCtx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for n := range silenceCallersPerVM * len(r.vms) {
		wait.Go(func() {
			r.sendAtSilence(sendCtx, r.vms[n%len(r.vms)], kinds, n, fmt.Sprintf("repeats-%d-%d", r.options.Seed, n), func(o demo.Outcome) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.outcomes = append(r.outcomes, o)
			})
		})
	}
	for sendCtx.Err() == nil {
		for _, service := range []string{demo.SitePlainService, demo.SiteModelService} {
			r.injectServerFaults(service, stand.BackendFaults{Rejections: repeatRejections})(ctx, 0)
		}
		pause.For(sendCtx, rejectInterval)
	}
	wait.Wait()
	r.setSilences(0)
	pause.For(ctx, repeatsSettleTime)
	for _, p := range r.proxies() {
		p.SetRepeats(false)
		r.faults["refusal_repeated"] += p.Repeated()
	}
	r.checks.CheckExecutions(r.outcomes, r.site.Runs)
}

// lastRefusal is the refusal that came last on a connection, nil if another response did.
type lastRefusal struct {
	mu   sync.Mutex
	data []byte
}

// set keeps bytes of a response if they are a whole refusal.
func (l *lastRefusal) set(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = nil
	if bytes.HasPrefix(data, []byte("HTTP/1.1 503 ")) && bytes.HasSuffix(data, []byte("\r\n\r\n")) {
		l.data = bytes.Clone(data)
	}
}

// take returns the refusal once.
func (l *lastRefusal) take() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	data := l.data
	l.data = nil
	return data
}

// SetRepeats makes the proxy give each refusal a second time, as the next request arrives on its connection, or ends
// that.
func (p *Proxy) SetRepeats(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeats = on
}

// Repeated returns how many refusals the proxy has given a second time.
func (p *Proxy) Repeated() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.repeated
}

// repeat keeps the refusal that a server sends, or gives it to the client once more before its next request.
func (p *Proxy) repeat(client net.Conn, last *lastRefusal, data []byte, response bool) {
	p.mu.Lock()
	on := p.repeats
	p.mu.Unlock()
	if response {
		last.set(data)
		return
	}
	refusal := last.take()
	if !on || refusal == nil {
		return
	}
	// A client that is gone gets nothing, which its next read shows.
	_, _ = client.Write(refusal)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeated++
}
