package trail

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Messages of the log lines about repeats.
const (
	messageRetry   = "retry"
	messageStarted = "started"
)

// repeat is a request that a VM sent once more, or was refused to. vms is the number of VMs among which the
// VM divided the retry budget.
type repeat struct {
	at          int64
	vm, service textID
	vms         int
	allowed     bool
}

// repeatWindow is the window in which a service got the most repeats.
type repeatWindow struct {
	service           textID
	start             int64
	repeats, requests int
	// young counts the repeats of processes that had started less than the window before, byVM the
	// repeats by VM, and leastVMs is the smallest number of VMs
	// among which a VM divided the extra retries.
	young    int
	byVM     map[textID]int
	leastVMs int
	refused  int
}

// busiest returns the VM with the most repeats and their number.
func (w *repeatWindow) busiest() (vm textID, repeats int) {
	for v, n := range w.byVM {
		if n > repeats || n == repeats && v < vm {
			vm, repeats = v, n
		}
	}
	return vm, repeats
}

func (l *Log) addRepeat(vm textID, parsed *logLine) {
	l.repeats = append(l.repeats, repeat{at: parsed.Time.UnixNano(), vm: vm, service: l.texts.id(parsed.Service), vms: parsed.VMs, allowed: parsed.Allowed})
}

func (l *Log) addStart(vm textID, at int64) {
	if l.starts == nil {
		l.starts = make(map[textID][]int64)
	}
	l.starts[vm] = append(l.starts[vm], at)
}

// repeatWindows returns for each service the window with the most repeats, in descending order of these.
func (l *Log) repeatWindows(size time.Duration) []repeatWindow {
	byService := make(map[textID][]repeat)
	for _, r := range l.repeats {
		byService[r.service] = append(byService[r.service], r)
	}
	var list []repeatWindow
	for service, repeats := range byService {
		slices.SortFunc(repeats, func(a, b repeat) int { return cmp.Compare(a.at, b.at) })
		w := l.worstWindow(repeats, int64(size))
		w.service = service
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b repeatWindow) int {
		return cmp.Or(cmp.Compare(b.repeats, a.repeats), cmp.Compare(a.service, b.service))
	})
	return list
}

// worstWindow returns the window with the most allowed repeats of a service, which are sorted by time.
func (l *Log) worstWindow(repeats []repeat, size int64) repeatWindow {
	bestFrom, bestTo, most := 0, 0, -1
	allowed, to := 0, 0
	for from := range repeats {
		for to < len(repeats) && repeats[to].at-repeats[from].at < size {
			if repeats[to].allowed {
				allowed++
			}
			to++
		}
		if allowed > most {
			bestFrom, bestTo, most = from, to, allowed
		}
		if repeats[from].allowed {
			allowed--
		}
	}
	w := repeatWindow{start: repeats[bestFrom].at, byVM: make(map[textID]int)}
	for _, r := range repeats[bestFrom:bestTo] {
		if !r.allowed {
			w.refused++
			continue
		}
		w.repeats++
		w.byVM[r.vm]++
		if l.startedWithin(r.vm, r.at, size) {
			w.young++
		}
		if r.vms > 0 && (w.leastVMs == 0 || r.vms < w.leastVMs) {
			w.leastVMs = r.vms
		}
	}
	for i := range l.requests {
		if q := &l.requests[i]; q.service == repeats[bestFrom].service && q.at >= w.start && q.at < w.start+size {
			w.requests++
		}
	}
	return w
}

// startedWithin reports whether the process of a VM at a time had started less than a span before.
func (l *Log) startedWithin(vm textID, at, span int64) bool {
	return slices.ContainsFunc(l.starts[vm], func(start int64) bool { return start <= at && at-start < span })
}

// writeRepeats writes the window with the most repeats of each service. Parts of a retry budget that were spent
// twice show as repeats of young processes, parts that are too large as a number of VMs below that of the fleet.
func (l *Log) writeRepeats(t *table, o Options) {
	list := l.repeatWindows(o.retryWindow())
	if len(list) == 0 {
		return
	}
	t.writeRow()
	t.writeRow("most repeats in "+o.retryWindow().String(), "from", "repeats", "requests", "refused", "VMs",
		"by young processes", "most by one VM", "least VMs divided by")
	for _, w := range list[:min(len(list), o.top())] {
		vm, n := w.busiest()
		t.writeRow(l.texts.text(w.service), formatTime(w.start), w.repeats, w.requests, w.refused, len(w.byVM),
			w.young, l.texts.text(vm)+" "+strconv.Itoa(n), w.leastVMs)
	}
}
