package peers

import (
	"fmt"
	"slices"
	"time"
)

// spread waits until a condition holds at all VMs, and returns after which time it held at half, at 99%
// and at all of them.
func (f *simFleet) spread(reached func(v *simVM) bool) simSpread {
	start := time.Now()
	var s simSpread
	for time.Since(start) < simChangeTimeout {
		n := 0
		for _, v := range f.vms {
			if reached(v) {
				n++
			}
		}
		took := time.Since(start)
		for at, share := range map[*time.Duration]float64{&s.half: 0.5, &s.most: 0.99, &s.all: 1} {
			if *at == 0 && float64(n) >= share*float64(len(f.vms)) {
				*at = max(took, 1)
			}
		}
		if s.all > 0 {
			return s
		}
		time.Sleep(simCheckInterval)
	}
	return s
}

// simSpread is the time in which a change reached half, 99% and all VMs; 0 if it did not.
type simSpread struct{ half, most, all time.Duration }

func (s simSpread) String() string {
	text := func(d time.Duration) string {
		if d == 0 {
			return "never"
		}
		return fmt.Sprint(d.Round(simCheckInterval).Milliseconds())
	}
	return fmt.Sprintf("%s / %s / %s", text(s.half), text(s.most), text(s.all))
}

// traffic returns the bytes of each VM so far.
func (f *simFleet) traffic() []int64 {
	list := make([]int64, len(f.vms))
	for i, v := range f.vms {
		list[i] = v.nic.traffic()
	}
	return list
}

// simTraffic is the traffic of the VMs in some time, by role.
type simTraffic struct {
	controller, busiestRelay, middleLeaf, busiestLeaf int64
	relays                                            int
}

func (f *simFleet) trafficSince(before []int64) simTraffic {
	var t simTraffic
	var leaves []int64
	for i, n := range f.traffic() {
		n -= before[i]
		switch v := f.vms[i]; {
		case v.Leading():
			t.controller = n
		case v.isRelaying():
			t.relays++
			t.busiestRelay = max(t.busiestRelay, n)
		default:
			leaves = append(leaves, n)
		}
	}
	slices.Sort(leaves)
	if len(leaves) > 0 {
		t.middleLeaf, t.busiestLeaf = leaves[len(leaves)/2], leaves[len(leaves)-1]
	}
	return t
}

func (t simTraffic) perSecond(d time.Duration) string {
	kb := func(n int64) string { return fmt.Sprintf("%.1f", float64(n)/1000/d.Seconds()) }
	return fmt.Sprintf("controller %s, busiest of %d relays %s, leaf %s, busiest leaf %s KB/s", kb(t.controller), t.relays, kb(t.busiestRelay), kb(t.middleLeaf), kb(t.busiestLeaf))
}
