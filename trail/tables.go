package trail

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Options select the content of a report. The zero value is ready to use.
type Options struct {
	// Top is the maximum number of rows in the tables of models, servers and causes; 0 selects ten.
	Top int
	// Window is the time span per row of the table by time; 0 selects two seconds.
	Window time.Duration
	// RetryWindow is the window in which repeats are counted; 0 selects ten seconds.
	RetryWindow time.Duration
	// Model restricts the report to the requests for a model, unless it is "".
	Model string
}

const (
	defaultTop         = 10
	defaultWindow      = 2 * time.Second
	defaultRetryWindow = 10 * time.Second
)

func (o Options) top() int              { return cmp.Or(o.Top, defaultTop) }
func (o Options) window() time.Duration { return cmp.Or(o.Window, defaultWindow) }
func (o Options) retryWindow() time.Duration {
	return cmp.Or(o.RetryWindow, defaultRetryWindow)
}

// Report writes the tables selected by o.
func (l *Log) Report(w io.Writer, o Options) error {
	requests := l.selectRequests(o.Model)
	t := newTable(w)
	l.writeSummary(t, requests)
	l.writeRoutes(t, requests)
	l.writeCauses(t, requests, o, Late, "late by cause")
	l.writeCauses(t, requests, o, Lost, "lost by reason")
	if o.Model == "" {
		l.writeModels(t, requests, o)
		l.writeRepeats(t, o)
	} else {
		l.writeOrders(t, o)
	}
	l.writeServers(t, requests, o)
	l.writePredictions(t, requests)
	l.writeWindows(t, requests, o)
	return t.close()
}

// selectRequests returns the requests for a model, or all requests if model is "".
func (l *Log) selectRequests(model string) []*Request {
	list := make([]*Request, 0, len(l.requests))
	for i := range l.requests {
		if model == "" || l.texts.text(l.requests[i].model) == model {
			list = append(list, &l.requests[i])
		}
	}
	return list
}

// writeBadLines writes how many lines could not be read, and the first of them.
func (l *Log) writeBadLines(t *table) {
	if l.bad == 0 {
		return
	}
	t.writeRow(fmt.Sprintf("%d lines were not read, the first:", l.bad))
	for _, b := range l.badLines {
		t.writeRow("  " + b.String())
	}
}

func (l *Log) writeSummary(t *table, requests []*Request) {
	t.writeRow(fmt.Sprintf("%d lines of %d VMs, %s to %s", l.lines, len(l.vms), formatTime(l.firstAt), formatTime(l.lastAt)))
	l.writeBadLines(t)
	var all outcomeCounts
	for _, r := range requests {
		all.add(r)
	}
	inTime, late, lost := all.shares()
	t.writeRow(fmt.Sprintf("%d requests: %s in time, %s late, %s lost", all.total, inTime, late, lost))
}

func (l *Log) writeRoutes(t *table, requests []*Request) {
	groups, routes := groupRequests(requests, func(r *Request) textID { return r.route })
	t.writeRow()
	t.writeRow("route", "asked", "in time", "late", "lost", "first event p50", "p95", "longest pause p95")
	for _, route := range routes {
		first, pause := newDurations(), newDurations()
		for _, r := range requests {
			if r.route != route || r.outcome == Lost {
				continue
			}
			first.record(r.firstEventTime())
			if r.streamed {
				pause.record(r.longestPause)
			}
		}
		c := groups[route]
		inTime, late, lost := c.shares()
		t.writeRow(l.texts.text(route), c.total, inTime, late, lost,
			first.atPercentile(50), first.atPercentile(95), pause.atPercentile(95))
	}
}

// firstEventTime returns the time to the first event, or the duration if the response is no stream.
func (r *Request) firstEventTime() float32 {
	if r.streamed {
		return r.firstEvent
	}
	return r.duration
}

func (l *Log) writeCauses(t *table, requests []*Request, o Options, outcome Outcome, title string) {
	counts := make(map[textID]int)
	for _, r := range requests {
		if r.outcome == outcome {
			counts[r.cause]++
		}
	}
	if len(counts) == 0 {
		return
	}
	t.writeRow()
	t.writeRow("requests", title)
	causes := slices.SortedFunc(maps.Keys(counts), func(a, b textID) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(l.texts.text(a), l.texts.text(b)))
	})
	for i, cause := range causes {
		if i == o.top() {
			t.writeRow("", fmt.Sprintf("and %d more", len(causes)-i))
			break
		}
		t.writeRow(counts[cause], l.texts.text(cause))
	}
}

func (l *Log) writeModels(t *table, requests []*Request, o Options) {
	groups, models := groupRequests(requests, func(r *Request) textID { return r.model })
	delete(groups, 0)
	models = slices.DeleteFunc(models, func(n textID) bool { return n == 0 })
	if len(models) == 0 {
		return
	}
	loads, unloads := make(map[textID]int), make(map[textID]int)
	for _, d := range l.orders {
		if d.result != orderAccepted {
			continue
		}
		if d.unload {
			unloads[d.model]++
		} else {
			loads[d.model]++
		}
	}
	total, halfModels, sum := 0, 0, 0
	for _, m := range models {
		total += groups[m].lateOrLost()
	}
	for halfModels < len(models) && 2*sum < total {
		sum += groups[models[halfModels]].lateOrLost()
		halfModels++
	}
	t.writeRow()
	t.writeRow(fmt.Sprintf("half of the late and lost requests are for %d of %d models", halfModels, len(models)))
	t.writeRow("model", "asked", "in time", "late", "lost", "loads", "unloads")
	for _, m := range models[:min(len(models), o.top())] {
		c := groups[m]
		inTime, late, lost := c.shares()
		t.writeRow(l.texts.text(m), c.total, inTime, late, lost, loads[m], unloads[m])
	}
}

// orderAccepted is the logged result of an order that the server accepted.
const orderAccepted = 1

// writeOrders writes the orders for the selected model.
func (l *Log) writeOrders(t *table, o Options) {
	t.writeRow()
	t.writeRow("order", "server", "what", "verdict")
	for _, d := range l.orders {
		if l.texts.text(d.model) != o.Model {
			continue
		}
		operation := "load"
		if d.unload {
			operation = "unload"
		}
		t.writeRow(formatTime(d.at), l.texts.text(d.server), operation, d.result)
	}
}

func (l *Log) writeServers(t *table, requests []*Request, o Options) {
	groups, servers := groupRequests(requests, func(r *Request) textID { return r.server })
	failed := make(map[textID]int)
	for k, n := range l.failedAttempts {
		failed[k.server] += n
	}
	servers = slices.DeleteFunc(servers, func(n textID) bool { return n == 0 })
	slices.SortStableFunc(servers, func(a, b textID) int {
		return cmp.Compare(groups[b].lateOrLost()+failed[b], groups[a].lateOrLost()+failed[a])
	})
	if len(servers) == 0 {
		return
	}
	t.writeRow()
	t.writeRow("server", "last attempts", "in time", "late", "lost", "attempts without an answer", "most common reason")
	for _, s := range servers[:min(len(servers), o.top())] {
		c := groups[s]
		inTime, late, lost := c.shares()
		t.writeRow(l.texts.text(s), c.total, inTime, late, lost, failed[s], l.commonFailure(s))
	}
}

// commonFailure returns the most common reason of failed attempts at a server.
func (l *Log) commonFailure(server textID) string {
	best, most := "", 0
	for k, n := range l.failedAttempts {
		if reason := l.texts.text(k.reason); k.server == server && (n > most || n == most && reason < best) {
			best, most = reason, n
		}
	}
	return best
}

// writePredictions compares predicted and observed times of streams that were sent without waiting
// or retry.
func (l *Log) writePredictions(t *table, requests []*Request) {
	predicted, observed, excess, pause := newDurations(), newDurations(), newDurations(), newDurations()
	predictedInTime, late := 0, 0
	for _, r := range requests {
		if !r.sentDirectly || r.outcome == Lost || !r.streamed {
			continue
		}
		predicted.record(r.predicted)
		observed.record(r.firstEvent)
		excess.record(max(r.firstEvent-r.predicted, 0))
		pause.record(r.longestPause)
		if r.predicted <= r.objective {
			predictedInTime++
			if r.firstEvent > r.objective {
				late++
			}
		}
	}
	if observed.n == 0 {
		return
	}
	t.writeRow()
	t.writeRow("streams sent without waiting or retry, ms", "p50", "p95")
	t.writeRow("first event predicted", predicted.atPercentile(50), predicted.atPercentile(95))
	t.writeRow("first event observed", observed.atPercentile(50), observed.atPercentile(95))
	t.writeRow("excess over the prediction", excess.atPercentile(50), excess.atPercentile(95))
	t.writeRow("longest pause", pause.atPercentile(50), pause.atPercentile(95))
	t.writeRow(fmt.Sprintf("%d of %d streams that were predicted to be in time started late", late, predictedInTime))
}

// window is a span of the time that the log covers.
type window struct {
	start          int64
	count          outcomeCounts
	loads, unloads int
}

// windows groups requests and orders by time.
func (l *Log) windows(requests []*Request, o Options) []window {
	if l.firstAt == 0 {
		return nil
	}
	size := int64(o.window())
	list := make([]window, (l.lastAt-l.firstAt)/size+1)
	for i := range list {
		list[i].start = l.firstAt + int64(i)*size
	}
	for _, r := range requests {
		list[(r.at-l.firstAt)/size].count.add(r)
	}
	for _, d := range l.orders {
		if d.result != orderAccepted || o.Model != "" && l.texts.text(d.model) != o.Model {
			continue
		}
		if w := &list[(d.at-l.firstAt)/size]; d.unload {
			w.unloads++
		} else {
			w.loads++
		}
	}
	return list
}

func (l *Log) writeWindows(t *table, requests []*Request, o Options) {
	list := l.windows(requests, o)
	if len(list) == 0 {
		return
	}
	t.writeRow()
	t.writeRow("window start", "asked", "in time", "late", "lost", "loads", "unloads")
	for _, w := range list {
		if w.count.total+w.loads+w.unloads == 0 {
			continue
		}
		inTime, late, lost := w.count.shares()
		t.writeRow(formatTime(w.start), w.count.total, inTime, late, lost, w.loads, w.unloads)
	}
}
