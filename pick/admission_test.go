package pick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/pick"
)

// simulateSurge simulates a demand surge: 40 requests a second for a model, 150 ms of prefill
// each, with one replica at first and eight after two seconds. VMs receive reports of the
// queues every 300 ms. It returns how many requests completed within an objective of
// 800 ms, and how many later but within four times that, when their callers disconnect.
func simulateSurge(withAdmission bool) (inTime, late int) {
	const (
		vms, rate           = 40, 40
		prefill             = 150 * time.Millisecond
		step                = 10 * time.Millisecond
		objective           = 800 * time.Millisecond
		scaleUpAt, replicas = 2 * time.Second, 8
	)
	rng := rand.New(rand.NewPCG(1, 1))
	queues, reported := make([]time.Duration, replicas), make([]time.Duration, replicas)
	type waitingRequest struct{ arrived, nextCheck time.Duration }
	waiting := make([][]waitingRequest, vms)
	send := func(now, arrived time.Duration, server int) {
		queues[server] += prefill
		switch took := now - arrived + queues[server]; {
		case took <= objective:
			inTime++
		case took <= 4*objective:
			late++
		}
	}
	for now := time.Duration(0); now < 5*time.Second; now += step {
		ready := 1
		if now >= scaleUpAt {
			ready = replicas
		}
		if now%(300*time.Millisecond) == 0 {
			copy(reported, queues)
		}
		for i := range queues {
			queues[i] = max(queues[i]-step, 0)
		}
		choose := func() pick.Choice {
			best := rng.IntN(ready)
			for i := range ready {
				if reported[i] < reported[best] {
					best = i
				}
			}
			return pick.Choice{UncachedTokens: best, QueueTime: reported[best], PrefillTime: prefill}
		}
		for vm := range vms {
			stillWaiting := waiting[vm][:0]
			for _, w := range waiting[vm] {
				c := choose()
				switch {
				case now-w.arrived >= pick.MaxAdmissionWait(objective):
				case now < w.nextCheck:
					stillWaiting = append(stillWaiting, w)
				case (pick.Admission{Waiting: len(waiting[vm]), VMs: vms, Objective: objective}).Admit(c, rng.Float64()):
					send(now, w.arrived, c.UncachedTokens)
				default:
					stillWaiting = append(stillWaiting, waitingRequest{w.arrived, now + pick.AdmissionCheckInterval})
				}
			}
			waiting[vm] = stillWaiting
		}
		if rng.Float64() < rate*step.Seconds() {
			vm, c := rng.IntN(vms), choose()
			if !withAdmission || (pick.Admission{Objective: objective}).Admit(c, 0) {
				send(now, now, c.UncachedTokens)
			} else {
				waiting[vm] = append(waiting[vm], waitingRequest{now, now + pick.AdmissionCheckInterval})
			}
		}
	}
	return inTime, late
}

// If requests are sent at once, those of the first two seconds queue at the only replica. Those at
// the end of the queue complete after their callers have disconnected, and can not be moved to the
// new replicas. With admission control far more complete before that, most of the others late.
func TestAdmissionDuringSurge(t *testing.T) {
	sentInTime, sentLate := simulateSurge(false)
	admittedInTime, admittedLate := simulateSurge(true)
	require.Greater(t, admittedInTime+admittedLate, sentInTime+sentLate)
	require.Greater(t, 2*admittedInTime+admittedLate, 2*sentInTime+sentLate, "a late response counts half")
	require.Greater(t, admittedInTime, sentInTime, "fewer late requests ahead of timely ones")
}

func TestAdmit(t *testing.T) {
	const prefill = 100 * time.Millisecond
	queue := func(d time.Duration) pick.Choice { return pick.Choice{QueueTime: d, PrefillTime: prefill} }
	short, middle, long := queue(100*time.Millisecond), queue(300*time.Millisecond), queue(2*time.Second)
	objective := func(d time.Duration) pick.Admission { return pick.Admission{Objective: d} }
	slots := func(running int) pick.Choice {
		return pick.Choice{Server: backs.Entry{Slots: 12}, Load: pick.Load{Running: running}}
	}
	overtaking := func(queue, overtaken time.Duration, running int) pick.Choice {
		return pick.Choice{QueueTime: queue, OvertakenTime: overtaken, PrefillTime: prefill / 10, Server: backs.Entry{Slots: 12}, Load: pick.Load{Running: running}}
	}
	urgent := pick.Admission{Urgent: true, Objective: 400 * time.Millisecond}
	yielding := func(waiting, vms int) pick.Admission {
		return pick.Admission{Urgent: true, Yields: true, Waiting: waiting, VMs: vms, Objective: 400 * time.Millisecond}
	}
	tests := map[string]struct {
		admission pick.Admission
		choice    pick.Choice
		random    float64
		want      bool
	}{
		"first check, short queue":                       {pick.Admission{}, short, 0.999, true},
		"first check, long queue":                        {pick.Admission{}, long, 0, false},
		"first check, in time":                           {objective(500 * time.Millisecond), middle, 0.999, true},
		"first check, late":                              {objective(400 * time.Millisecond), middle, 0, false},
		"first check, late, short queue":                 {objective(150 * time.Millisecond), short, 0.999, true},
		"first check, in time, long queue":               {objective(4 * time.Second), long, 0, false},
		"only waiting request":                           {pick.Admission{Waiting: 1, VMs: 1}, short, 0.9, true},
		"only waiting request, queue above late limit":   {pick.Admission{Waiting: 1, VMs: 1}, middle, 0, false},
		"waiting in one of many VMs, low random number":  {pick.Admission{Waiting: 1, VMs: 80}, short, 0.01, true},
		"waiting in one of many VMs, high random number": {pick.Admission{Waiting: 1, VMs: 80}, short, 0.5, false},
		"a few requests above slots":                     {pick.Admission{}, slots(15), 0.999, true},
		"slots and queue full":                           {pick.Admission{}, slots(16), 0, false},
		"slots and queue full, urgent":                   {pick.Admission{Urgent: true}, slots(30), 0.999, true},
		"waiting, slots and queue full":                  {pick.Admission{Waiting: 1, VMs: 1}, slots(16), 0, false},
		"many waiting, long queue":                       {pick.Admission{Waiting: 9, VMs: 80}, long, 0, false},
		// A server runs an urgent request before the queue that it overtakes, the others lose nothing by
		// waiting in their VMs.
		"urgent, long queue overtaken":        {urgent, overtaking(100*time.Millisecond, 2*time.Second, 30), 0.999, true},
		"urgent, long queue before it":        {urgent, overtaking(360*time.Millisecond, 0, 0), 0, false},
		"urgent and waiting, queue overtaken": {pick.Admission{Urgent: true, Waiting: 1, VMs: 1}, overtaking(0, 2*time.Second, 0), 0.9, true},
		"not urgent, queue overtaken":         {objective(400 * time.Millisecond), overtaking(100*time.Millisecond, 800*time.Millisecond, 0), 0.999, true},
		"not urgent, long queue overtaken":    {objective(400 * time.Millisecond), overtaking(100*time.Millisecond, 2*time.Second, 0), 0, false},
		"not urgent, long queue before it":    {objective(400 * time.Millisecond), overtaking(360*time.Millisecond, 2*time.Second, 0), 0, false},
		"not urgent, overtaken, no slot":      {objective(400 * time.Millisecond), overtaking(100*time.Millisecond, 2*time.Second, 16), 0, false},
		// The server has 40 ms of spare time; each of the waiting requests takes 10 ms.
		"yielding, first check":                 {yielding(0, 1), overtaking(10*time.Millisecond, 50*time.Millisecond, 0), 0, false},
		"yielding, only request":                {yielding(1, 1), overtaking(10*time.Millisecond, 50*time.Millisecond, 0), 0.999, true},
		"yielding, time for some, low number":   {yielding(2, 4), overtaking(10*time.Millisecond, 50*time.Millisecond, 0), 0.49, true},
		"yielding, time for some, high number":  {yielding(2, 4), overtaking(10*time.Millisecond, 50*time.Millisecond, 0), 0.51, false},
		"yielding, long queue overtaken":        {yielding(1, 1), overtaking(10*time.Millisecond, 2*time.Second, 0), 0, false},
		"yielding, in time by the queue before": {yielding(1, 1), overtaking(110*time.Millisecond, 0, 0), 0, false},
		"yielding, no slot":                     {yielding(1, 1), overtaking(10*time.Millisecond, 50*time.Millisecond, 12), 0, false},
		"yielding, one slot, low number":        {yielding(1, 4), overtaking(10*time.Millisecond, 50*time.Millisecond, 11), 0.24, true},
		"yielding, one slot, high number":       {yielding(1, 4), overtaking(10*time.Millisecond, 50*time.Millisecond, 11), 0.26, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, tc.admission.Admit(tc.choice, tc.random))
		})
	}
	require.Equal(t, 1500*time.Millisecond, pick.RetryAfter(2*time.Second))
	require.Positive(t, pick.RetryAfter(0))
}
