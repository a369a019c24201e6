package soak

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	// unreadTimeout is how long a server waits until an event that it writes is taken, and then cuts the stream off.
	unreadTimeout = 2 * time.Second
	// streamPauseTime is how long a server pauses within a stream, longer than its route allows.
	streamPauseTime = 1500 * time.Millisecond
	// streamPrefix begins the IDs of the streams whose servers these are.
	streamPrefix = "order-"
	// maxEventBytes bounds the size of large events.
	maxEventBytes = 48 << 10
)

// streamServer serves the streams of one instance of a model server, and passes all else on to its stand-in. Its events name
// the run that wrote them, so that pieces of two runs can be told apart, and some are large.
type streamServer struct {
	run     *run
	id      string
	version string
	rest    http.Handler
}

// registerServer is the address to register for the instance of a backend server that listens at address.
func (r *run) registerServer(id, address string) (string, error) {
	if !strings.HasPrefix(id, demo.SiteModelService) {
		return r.proxyAddress(id, address)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for the streams of a server: %w", err)
	}
	rest := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	rest.ErrorLog = log.New(io.Discard, "", 0)
	rest.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	s := &streamServer{run: r, id: id, version: softwareVersions[0], rest: rest}
	if b := r.backend(id); b != nil {
		s.version = b.SoftwareVersion()
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	r.mu.Lock()
	previous := r.streamServers[id]
	r.streamServers[id] = server
	r.mu.Unlock()
	if previous != nil {
		_ = previous.Close()
	}
	return r.proxyAddress(id, l.Addr().String())
}

// backend returns the stand-in of a model server, or nil while the site starts.
func (r *run) backend(id string) *stand.Backend {
	r.mu.Lock()
	site := r.site
	r.mu.Unlock()
	if site == nil {
		return nil
	}
	for _, b := range site.Backends(demo.SiteModelService) {
		if b.ID == id {
			return b
		}
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := s.run.backend(s.id)
	if b == nil || !strings.HasPrefix(r.Header.Get(platform.HeaderNames.AttemptID), streamPrefix) {
		s.rest.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	names := &platform.HeaderNames
	id := r.Header.Get(names.AttemptID)
	model, adapter := names.ParseModel(r.Header.Get(names.Model))
	w.Header().Set(names.AttemptID, id)
	w.Header().Set(names.ServerStamp, b.ID)
	action := b.HandleRequest(time.Now(), id, r.Header.Get(names.ExpectServer), model, adapter, string(body), nil)
	switch action {
	case stand.ActionReject:
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case stand.ActionMisdirected:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case stand.ActionDisconnect:
		panic(http.ErrAbortHandler)
	default:
		s.writeStream(w, r, b, id, action)
	}
}

// writeStream writes the events of a new run. It pauses within some, and breaks some off between two events.
func (s *streamServer) writeStream(w http.ResponseWriter, r *http.Request, b *stand.Backend, id string, action stand.Action) {
	number := s.run.nextRun.Add(1)
	rng := rand.New(rand.NewPCG(s.run.options.Seed, number))
	begin, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	padding, pausedAt, brokenAt := "", 0, 0
	if rng.IntN(4) == 0 {
		padding = strings.Repeat("x", rng.IntN(maxEventBytes))
	}
	if rng.IntN(16) == 0 {
		pausedAt = 1 + rng.IntN(demo.SiteStreamEvents)
	}
	if rng.IntN(16) == 0 {
		brokenAt = 1 + rng.IntN(demo.SiteStreamEvents)
	}
	if action == stand.ActionBreakStream || action == stand.ActionCutShort {
		brokenAt = begin + 1 + rng.IntN(max(demo.SiteStreamEvents-begin, 1))
	}
	out, end, err := beginStream(w, b, id, action)
	if err != nil {
		return
	}
	for n := begin + 1; n <= demo.SiteStreamEvents; n++ {
		wait := b.EventTime()
		if n == pausedAt {
			wait = streamPauseTime
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wait):
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d %s %d-%d %s\n\n", n, id, n, s.version, number, begin, padding)
		if n == brokenAt {
			cut := 0
			if action == stand.ActionBreakStream || action == stand.ActionCutShort {
				cut = 1 + rng.IntN(len(event)-1)
			}
			_ = out(event[:cut])
			end(false)
			return
		}
		if out(event) != nil {
			end(false)
			return
		}
	}
	end(true)
}

// beginStream begins the response of a stream. It returns a function that writes and one that ends the stream, whole or
// not.
func beginStream(w http.ResponseWriter, b *stand.Backend, id string, action stand.Action) (write func(string) error, end func(whole bool), err error) {
	control := http.NewResponseController(w)
	if action != stand.ActionRespondByClose && action != stand.ActionCutShort {
		w.Header().Set("Content-Type", "text/event-stream")
		write = func(text string) error {
			_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout))
			if _, err := io.WriteString(w, text); err != nil {
				return err
			}
			return control.Flush()
		}
		return write, func(whole bool) {
			if !whole {
				panic(http.ErrAbortHandler)
			}
			_ = control.SetWriteDeadline(time.Time{})
		}, nil
	}
	conn, _, err := control.Hijack()
	if err != nil {
		return nil, nil, err
	}
	write = func(text string) error {
		_ = conn.SetWriteDeadline(time.Now().Add(unreadTimeout))
		_, err := io.WriteString(conn, text)
		return err
	}
	names := &platform.HeaderNames
	err = write(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: 1\r\nContent-Type: text/event-stream\r\n\r\n", names.AttemptID, id, names.ServerStamp, b.ID, platform.HeaderEndsByClose))
	return write, func(bool) { _ = conn.Close() }, err
}
