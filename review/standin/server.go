//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerAttempt  = "X-Hibiscuscart-Attempt-Id"
	headerStamp    = "X-Hibiscuscart-Server-Stamp"
	headerNotRun   = "X-Hibiscuscart-Not-Executed"
	headerExpect   = "X-Hibiscuscart-Expect-Instance"
	headerDeadline = "X-Hibiscuscart-Deadline-Ms"
	headerLoad     = "X-Hibiscuscart-Instance-Load"
	headerInstance = "X-Hibiscuscart-Instance-Id"
)

const (
	serverHeartbeat = 1200 * time.Millisecond
	// idleTimeout is how long a server keeps an idle connection. Its Keep-Alive header states it.
	idleTimeout = 10 * time.Second
)

// server is a sound stand-in of a server of a plain service: it runs as many requests at once as it has slots, queues a
// few more and rejects the others.
type server struct {
	id, service, zone string
	slots, queue      int
	// work returns how long a request takes.
	work func() time.Duration
	// answerBytes is the length of an answer.
	answerBytes int
	// secondAnswer reports whether the answer that was just given is given a second time, late: in front of the next one
	// on the connection. nil for a server that never does.
	secondAnswer func() bool
	runs         *runLog
	record       *record

	listener net.Listener
	slotFree chan struct{}

	mu       sync.Mutex
	waiting  int
	sequence int
}

// runLog counts the runs of requests, at all servers.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *runLog) add(request, server string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request] = append(l.runs[request], server)
	return len(l.runs[request])
}

func (s *server) start(st *store) {
	s.listener = mustListen()
	s.slotFree = make(chan struct{}, s.slots)
	s.beat(st)
	go func() {
		for range time.Tick(serverHeartbeat) {
			s.beat(st)
		}
	}()
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
}

// beat writes the server's entry to the store.
func (s *server) beat(st *store) {
	s.mu.Lock()
	s.sequence++
	n := s.sequence
	s.mu.Unlock()
	st.set("servers", s.id, map[string]any{
		"Service": s.service, "Address": s.listener.Addr().String(), "Zone": s.zone, "Version": "v1", "Slots": s.slots,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": n,
	})
}

// answer is a whole answer as its bytes.
type answer struct {
	bytes []byte
	what  string
}

func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var second *answer
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if second != nil {
			s.record.line("server %s gives its answer to %s once more, as the next request arrives on the connection", s.id, second.what)
			if _, err := c.Write(second.bytes); err != nil {
				return
			}
			second = nil
		}
		a := s.handle(r, body)
		if _, err := c.Write(a.bytes); err != nil {
			return
		}
		if s.secondAnswer != nil && s.secondAnswer() {
			second = &a
		}
	}
}

func (s *server) handle(r *http.Request, body []byte) answer {
	id := r.Header.Get(headerAttempt)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != s.id {
		return s.answer(id, http.StatusMisdirectedRequest, false, headerInstance+": "+s.id+"\r\n", nil)
	}
	if r.URL.Path == "/healthz" {
		return s.answer(id, http.StatusOK, false, headerInstance+": "+s.id+"\r\n", nil)
	}
	if id == "" {
		return s.answer("", http.StatusBadRequest, false, headerNotRun+": 1\r\n", nil)
	}
	budget := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		budget = time.Duration(ms) * time.Millisecond
	}
	if !s.takeSlot(budget) {
		s.record.line("server %s rejects %s, not run", s.id, id)
		return s.answer(id, http.StatusServiceUnavailable, false, headerNotRun+": 1\r\n", nil)
	}
	n := s.runs.add(id, s.id)
	s.record.line("server %s runs %s (run %d of it)", s.id, id, n)
	time.Sleep(s.work())
	<-s.slotFree
	return s.answer(id, http.StatusOK, true, "", bytes.Repeat([]byte("a"), s.answerBytes))
}

// takeSlot takes a slot, at once or after a wait in the queue, and reports false if the server is full.
func (s *server) takeSlot(budget time.Duration) bool {
	select {
	case s.slotFree <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.slotFree <- struct{}{}:
		return true
	case <-time.After(budget):
		return false
	}
}

func (s *server) answer(id string, status int, ran bool, extra string, body []byte) answer {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerAttempt, id)
	}
	if ran {
		fmt.Fprintf(&b, "%s: %s.%s\r\n", headerStamp, s.id, id)
	}
	s.mu.Lock()
	waiting := s.waiting
	s.mu.Unlock()
	fmt.Fprintf(&b, "%s%s: %d,%d,%d\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n", extra, headerLoad, len(s.slotFree), waiting, s.slots,
		int(idleTimeout.Seconds()), len(body))
	b.Write(body)
	return answer{b.Bytes(), fmt.Sprintf("%s (%d)", id, status)}
}

// spread returns a duration around a mean.
func spread(r *rand.Rand, mu *sync.Mutex, mean time.Duration) time.Duration {
	mu.Lock()
	defer mu.Unlock()
	return time.Duration(float64(mean) * (0.5 + r.Float64()))
}
