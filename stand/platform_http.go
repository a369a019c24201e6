package stand

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const bookmarkInterval = time.Second

// Handler returns the handler of the object API and the control path.
func (p *Platform) Handler() http.Handler {
	p.init()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.withFaults(p.reads, p.getObject))
	mux.HandleFunc("GET /objects/{kind}", p.withFaults(p.reads, p.listObjects))
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.withFaults(p.writes, p.putObject))
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.withFaults(p.writes, p.deleteObject))
	mux.HandleFunc("GET /watch/{kind}", p.withFaults(p.reads, p.watchObjects))
	mux.HandleFunc("GET /vms", p.withFaults(p.reads, p.listVMs))
	mux.HandleFunc("PUT /control/faults", p.controlFaults)
	mux.HandleFunc("PUT /control/vms", p.controlVM)
	mux.HandleFunc("DELETE /control/vms/{name}", p.controlRemoveVM)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	return mux
}

// withFaults applies the faults, the authentication and the rate limit to a call.
func (p *Platform) withFaults(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := p.Faults()
		if slices.Contains(faults.DisconnectedVMs, r.Header.Get(store.HeaderCallingVM)) {
			closeConnection(w)
			return
		}
		if faults.DelayMs > 0 {
			time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		}
		if faults.Outage {
			writeProblem(w, http.StatusServiceUnavailable, "outage")
			return
		}
		if p.APIKey != "" && r.Header.Get("Authorization") != "Bearer "+p.APIKey {
			writeProblem(w, http.StatusUnauthorized, "wrong key")
			return
		}
		if !limiter.Allow() {
			p.counts.limited.Add(1)
			w.Header().Set("Retry-After", "0.1")
			writeProblem(w, http.StatusTooManyRequests, "rate limit")
			return
		}
		next(w, r)
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.counts.reads.Add(1)
	obj, ok := p.Get(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		writeProblem(w, http.StatusNotFound, "no such object")
		return
	}
	writeJSON(w, http.StatusOK, obj)
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	p.counts.reads.Add(1)
	writeJSON(w, http.StatusOK, p.List(r.PathValue("kind")))
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	p.counts.writes.Add(1)
	ifVersion, err := strconv.Atoi(r.Header.Get(store.HeaderIfVersion))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "If-Version is not a number")
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, "a value holds at most a megabyte")
		return
	}
	if !json.Valid(value) {
		writeProblem(w, http.StatusBadRequest, "the value is not JSON")
		return
	}
	version, ok := p.Put(r.PathValue("kind"), r.PathValue("name"), ifVersion, value)
	p.writeVersion(w, version, ok)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.counts.writes.Add(1)
	ifVersion, err := strconv.Atoi(r.Header.Get(store.HeaderIfVersion))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "If-Version is not a number")
		return
	}
	version, ok := p.Delete(r.PathValue("kind"), r.PathValue("name"), ifVersion)
	p.writeVersion(w, version, ok)
}

func (p *Platform) writeVersion(w http.ResponseWriter, version int, ok bool) {
	if share := p.Faults().LostResponseShare; share > 0 && p.shouldInject(share) {
		p.counts.lost.Add(1)
		closeConnection(w)
		return
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	writeJSON(w, status, map[string]int{"version": version})
}

func (p *Platform) shouldInject(share float64) bool {
	return p.Random == nil || p.Random() < share
}

func (p *Platform) watchObjects(w http.ResponseWriter, r *http.Request) {
	p.counts.watches.Add(1)
	p.activeWatches.Add(1)
	defer p.activeWatches.Add(-1)
	from, err := strconv.Atoi(r.Header.Get("From-Version"))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "From-Version is not a number")
		return
	}
	kind := r.PathValue("kind")
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	for streaming := false; ; streaming = true {
		faults := p.Faults()
		if faults.Outage || slices.Contains(faults.DisconnectedVMs, r.Header.Get(store.HeaderCallingVM)) {
			closeConnection(w)
			return
		}
		lag := time.Duration(faults.WatchDelayMs) * time.Millisecond
		events, next, changed, retained := p.eventsAfter(kind, from, lag)
		if !retained && !streaming {
			writeProblem(w, http.StatusGone, "version too old")
			return
		}
		if !retained {
			return
		}
		for _, e := range events {
			_ = encoder.Encode(e)
		}
		from = next
		_ = encoder.Encode(store.Event{Type: store.EventBookmark, Version: from})
		_ = controller.Flush()
		if !waitForChange(r, changed, lag) {
			return
		}
	}
}

// waitForChange waits for the next change or the next bookmark. It reports whether
// the request is still open.
func waitForChange(r *http.Request, changed chan struct{}, lag time.Duration) bool {
	t := time.NewTimer(bookmarkInterval)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-t.C:
		return true
	case <-changed:
	}
	if lag > 0 {
		time.Sleep(lag)
	}
	return true
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.counts.reads.Add(1)
	writeJSON(w, http.StatusOK, p.VMs())
}

func (p *Platform) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (p *Platform) controlVM(w http.ResponseWriter, r *http.Request) {
	var vm wire.VM
	if !readJSON(w, r, &vm) {
		return
	}
	p.SetVM(vm)
	writeJSON(w, http.StatusOK, vm)
}

func (p *Platform) controlRemoveVM(w http.ResponseWriter, r *http.Request) {
	p.RemoveVM(r.PathValue("name"))
	writeJSON(w, http.StatusOK, struct{}{})
}
