//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// consumer sends requests to one node, over kept connections as consumers do.
type consumer struct {
	client *http.Client
	host   string
	target string
	record *record
}

func newConsumer(n *node, host string, r *record) *consumer {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &consumer{client: &http.Client{Transport: transport}, host: host, target: "http://" + n.listen, record: r}
}

// result is how an attempt ended.
type result struct {
	status int
	stamp  string
	err    error
}

// send sends one attempt. Its connection is not used for another one before the answer is whole.
func (c *consumer) send(id, path string, body []byte, budget time.Duration) result {
	req, err := http.NewRequest(http.MethodPost, c.target+path, bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	// The transport must never send an attempt a second time.
	req.GetBody = nil
	req.Host = c.host
	req.Header.Set(headerAttempt, id)
	req.Header.Set(headerDeadline, strconv.FormatInt(budget.Milliseconds(), 10))
	c.record.line("consumer sends %s", id)
	resp, err := c.client.Do(req)
	if err != nil {
		c.record.line("consumer got no answer to %s: %v", id, err)
		return result{err: err}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.record.line("consumer got part of an answer to %s: %v", id, err)
		return result{err: err}
	}
	c.record.line("consumer got %d for %s, stamp %q", resp.StatusCode, id, resp.Header.Get(headerStamp))
	return result{status: resp.StatusCode, stamp: resp.Header.Get(headerStamp)}
}

func attemptID(n int) string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(n)) }
