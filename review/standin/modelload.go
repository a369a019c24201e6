//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// modelLoad is the usual load of consumers on models and some of their adapters.
type modelLoad struct {
	consumers []*consumer
	path      string
	models    []string
	// usual is the number of adapters of each model that are asked for.
	usual  int
	budget time.Duration
	rng    *rand.Rand

	mu     sync.Mutex
	rare   []string
	sent   int
	served atomic.Int64
}

// setRare makes every second request ask for one of the adapters that are not asked for usually, nil for none.
func (l *modelLoad) setRare(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rare = names
}

// run sends one request at each interval until stop is closed, and waits for the answers.
func (l *modelLoad) run(every time.Duration, stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		l.mu.Lock()
		l.sent++
		n, name := l.sent, fmt.Sprintf("%s/a%d", l.models[l.rng.IntN(len(l.models))], 1+l.rng.IntN(l.usual))
		if len(l.rare) > 0 && n%2 == 0 {
			name = l.rare[n/2%len(l.rare)]
		}
		l.mu.Unlock()
		wait.Go(func() {
			if l.consumers[n%len(l.consumers)].sendModel(attemptID(n), l.path, name, l.budget) {
				l.served.Add(1)
			}
		})
	}
}

// sendModel sends one attempt for a model, and reports whether its answer was whole.
func (c *consumer) sendModel(id, path, model string, budget time.Duration) bool {
	req, err := http.NewRequest(http.MethodPost, c.target+path, bytes.NewReader([]byte("prompt")))
	if err != nil {
		return false
	}
	req.GetBody = nil
	req.Host = c.host
	req.Header.Set(headerAttempt, id)
	req.Header.Set(headerModel, model)
	req.Header.Set("X-Hibiscuscart-Token-Usage", "200,25")
	req.Header.Set("X-Hibiscuscart-Prompt-Prefix", "5c1e07a2:100,"+id[8:]+":100")
	req.Header.Set(headerDeadline, strconv.FormatInt(budget.Milliseconds(), 10))
	c.record.line("consumer sends %s for %s", id, model)
	resp, err := c.client.Do(req)
	if err != nil {
		c.record.line("consumer got no answer to %s: %v", id, err)
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	c.record.line("consumer got %d for %s, %d bytes, error %v", resp.StatusCode, id, len(data), err)
	return err == nil && resp.StatusCode == http.StatusOK
}
