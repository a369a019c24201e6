package node

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// standstillInterval is the interval between looks whether this process stood still.
	standstillInterval = 200 * time.Millisecond
	// minLoggedStandstill is the shortest standstill that is logged. Shorter ones are only counted: a VM with little CPU
	// time has many.
	minLoggedStandstill = 500 * time.Millisecond
)

// watchStandstills counts how often this process stood still: its share of a core was used up, its VM was suspended, or
// long work kept its thread.
func (n *Node) watchStandstills(ctx context.Context) {
	for ctx.Err() == nil {
		began := n.now()
		if !pause.For(ctx, standstillInterval) {
			return
		}
		n.recordStandstill(pause.Standstill(standstillInterval, n.now().Sub(began)))
	}
}

// recordStandstill records a standstill, 0 for none.
func (n *Node) recordStandstill(lasted time.Duration) {
	if lasted == 0 {
		return
	}
	n.meter.AddCounter("vm.stalls", 1)
	n.meter.AddCounter("vm.stalled_ms", lasted.Milliseconds())
	n.meter.SetGauge("vm.longest_stall_ms", max(n.meter.GaugeValue("vm.longest_stall_ms"), lasted.Milliseconds()))
	if lasted >= minLoggedStandstill {
		n.log.Warn().Dur("lasted", lasted).Msg("this VM stood still")
	}
}
