package replay

import (
	"time"

	"github.com/hibiscuscart/hibiscuscart/pick"
)

// Each VM knows its own load exactly, that of its domain by the domain's relay, and that
// of the rest by the relay and the controller. A frame at each of these levels tells what
// it knew by then.

const (
	// perLink is by how much the pause between frames grows with the links of a hub,
	// leastPause and mostPause its bounds.
	perLink    = 5 * time.Millisecond
	leastPause = 100 * time.Millisecond
	mostPause  = 300 * time.Millisecond
	// treeFrom is how many VMs there must be for relays.
	treeFrom = 20
)

// shares is what the hubs know.
type shares struct {
	// relays have the sums of the VMs of each domain, as told to the controller.
	relays []map[string]pick.Load
	// all is the sum that the controller told last.
	all map[string]pick.Load
}

func pauseOf(links int) time.Duration {
	return min(max(leastPause, time.Duration(links)*perLink), mostPause)
}

// sharing plans the frames.
func (w *world) sharing() {
	f := &w.p.Fleet
	w.shares.relays = make([]map[string]pick.Load, f.Domains)
	pause, above := pauseOf(w.links()), pauseOf(f.Domains)
	until := w.p.Length
	start := -w.p.Lead
	for _, v := range w.vms {
		phase := time.Duration(w.rng.Int64N(int64(pause)))
		w.every(start+phase, pause, until, func() {
			v.told = v.book.LocalLoads()
			w.report(v)
		})
	}
	for d := range w.byZone {
		phase := time.Duration(w.rng.Int64N(int64(pause)))
		w.every(start+phase, above, until, func() { w.shares.relays[d] = w.inside(d) })
		w.every(start+phase, pause, until, func() { w.tellDomain(d) })
	}
	w.every(start, above, until, func() {
		w.shares.all = make(map[string]pick.Load)
		for _, r := range w.shares.relays {
			addLoads(w.shares.all, r)
		}
	})
}

// links is how many VMs a hub has.
func (w *world) links() int {
	f := &w.p.Fleet
	if f.VMs < treeFrom {
		return f.VMs
	}
	return (f.VMs + f.Domains - 1) / f.Domains
}

// report passes a VM's demand on; the way over the relay takes about a frame.
func (w *world) report(v *vm) {
	wants := v.takeWants()
	switch {
	case w.variant.Still:
		for i := range wants {
			wants[i].ServerTime = 0
		}
	case w.variant.Foreseen > 0 && v.place == 0:
		w.foresee(v)
		fallthrough
	case w.variant.Foreseen > 0:
		return
	}
	if len(wants) == 0 {
		return
	}
	w.after(leastPause, func() { w.control.RecordVMReport(w.time(), v.name, nil, wants) })
}

// inside returns the load of a domain's VMs as they told it.
func (w *world) inside(d int) map[string]pick.Load {
	sum := make(map[string]pick.Load)
	for _, v := range w.byZone[d] {
		addLoads(sum, v.told)
	}
	return sum
}

// tellDomain tells the VMs of a domain the load of all others.
func (w *world) tellDomain(d int) {
	now := w.time()
	sum := w.inside(d)
	for id, l := range w.shares.all {
		own := w.shares.relays[d][id]
		sum[id] = sum[id].Add(pick.Load{
			Running: max(l.Running-own.Running, 0), PrefillTime: max(l.PrefillTime-own.PrefillTime, 0), KVTokens: max(l.KVTokens-own.KVTokens, 0),
		})
	}
	if w.variant.Exact {
		return
	}
	for _, v := range w.byZone[d] {
		v.book.SetRemoteLoads(now, pick.SubtractLoads(sum, v.told))
	}
}

func addLoads(sums, loads map[string]pick.Load) {
	for id, l := range loads {
		sums[id] = sums[id].Add(l)
	}
}
