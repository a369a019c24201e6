package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/retry"
)

// simRetries are the retries of a simulated fleet in which no request earns any.
var simRetries = retry.Rules{Extra: 180, Window: 10 * time.Second}

// simRetryInterval is the interval at which each VM sends a retry if it may.
const simRetryInterval = 100 * time.Millisecond

// retryLog holds when retries were sent.
type retryLog []time.Time

// spend has all VMs send all retries that they may, for a time.
func (l *retryLog) spend(f *simFleet, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(simRetryInterval) {
		now := time.Now()
		for _, v := range f.vms {
			if !v.dead && v.Retries.Of(now, "s").Allow(now) {
				*l = append(*l, now)
			}
		}
	}
}

// most returns the largest number of retries in a window, and when it began.
func (l retryLog) most(window time.Duration) (most int, from time.Time) {
	end := 0
	for i, at := range l {
		for end < len(l) && l[end].Sub(at) < window {
			end++
		}
		if end-i > most {
			most, from = end-i, at
		}
	}
	return most, from
}

// since returns the number of retries from a time on.
func (l retryLog) since(from time.Time) int {
	n := 0
	for _, at := range l {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// restart ends the processes of VMs and starts them again after a time in which the others go on.
func (f *simFleet) restart(l *retryLog, down time.Duration, vms ...*simVM) {
	for _, v := range vms {
		v.dead = true
		v.kill()
	}
	l.spend(f, down)
	for _, v := range vms {
		v.running.Wait()
		v.start()
		v.dead = false
	}
}

// add starts further VMs in a failure domain.
func (f *simFleet) add(domain string, n int) {
	for range n {
		v := &simVM{fleet: f, index: len(f.vms) + 1000, nic: &simInterface{domain: domain, bytesPerSecond: simStrongBytes}}
		v.start()
		f.vms = append(f.vms, v)
	}
}

// Guards against the VMs of a fleet sending more retries together than they may, whatever ends their processes, hides
// them from each other or changes their number, and against a fleet at rest that may send far fewer.
func TestRetriesOfFleet(t *testing.T) {
	const settle = 25 * time.Second
	tests := map[string]struct {
		vms int
		do  func(f *simFleet, l *retryLog, rng *rand.Rand)
	}{
		"all start again three times": {9, func(f *simFleet, l *retryLog, _ *rand.Rand) {
			for range 3 {
				f.restart(l, time.Second, f.vms...)
				l.spend(f, 2*time.Second)
			}
		}},
		"the controller starts again and again": {9, func(f *simFleet, l *retryLog, _ *rand.Rand) {
			for range 6 {
				if c := f.controller(); c != nil {
					f.restart(l, 500*time.Millisecond, c)
				}
				l.spend(f, 2*time.Second)
			}
		}},
		"a domain is cut off and the others start again": {9, func(f *simFleet, l *retryLog, _ *rand.Rand) {
			f.network.cut("d1")
			l.spend(f, settle)
			for _, v := range f.vms {
				if v.nic.domain != "d1" {
					f.restart(l, 0, v)
				}
			}
			l.spend(f, settle)
			f.network.cut("")
		}},
		"a domain is cut off and starts again with more VMs": {9, func(f *simFleet, l *retryLog, _ *rand.Rand) {
			f.network.cut("d1")
			l.spend(f, settle)
			for _, v := range f.vms {
				if v.nic.domain == "d1" {
					f.restart(l, 0, v)
				}
			}
			f.add("d1", 6)
			l.spend(f, settle)
			f.network.cut("")
		}},
		"half of the VMs die": {9, func(f *simFleet, l *retryLog, _ *rand.Rand) {
			for _, v := range f.vms[:5] {
				v.dead = true
				v.kill()
			}
			l.spend(f, settle)
			f.restart(l, 0, f.vms[:5]...)
		}},
		"VMs are added": {7, func(f *simFleet, l *retryLog, _ *rand.Rand) {
			for i := range 6 {
				f.add(fmt.Sprint("d", i%3), 4)
				l.spend(f, 3*time.Second)
			}
		}},
		"a cut lasts longer than VMs are remembered": {9, func(f *simFleet, l *retryLog, _ *rand.Rand) {
			f.network.cut("d2")
			l.spend(f, fleetMemory+time.Minute)
			f.network.cut("")
		}},
		"a domain with a relay is cut off and grows": {36, func(f *simFleet, l *retryLog, _ *rand.Rand) {
			domain := "d0"
			if c := f.controller(); c != nil && c.nic.domain == domain {
				domain = "d1"
			}
			f.network.cut(domain)
			l.spend(f, 5*time.Second)
			f.add(domain, 12)
			l.spend(f, settle)
			f.network.cut("")
		}},
		"with relays, at random": {36, func(f *simFleet, l *retryLog, rng *rand.Rand) {
			for range 20 {
				switch rng.IntN(4) {
				case 0:
					f.network.cut(fmt.Sprint("d", rng.IntN(3)))
				case 1:
					f.network.cut("")
				case 2:
					f.restart(l, time.Duration(rng.IntN(2000))*time.Millisecond, f.vms[1+rng.IntN(len(f.vms)-1)], f.vms[0])
				case 3:
					if c := f.controller(); c != nil {
						f.restart(l, time.Second, c)
					}
				}
				l.spend(f, time.Duration(1+rng.IntN(6))*time.Second)
			}
			f.network.cut("")
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(tc.vms)
				f.start()
				defer f.stop()
				var l retryLog
				l.spend(f, settle)
				rested := time.Now()
				l.spend(f, 3*simRetries.Window)
				require.Greater(t, l.since(rested), int(2*simRetries.Extra), "a fleet at rest uses its retries")
				tc.do(f, &l, rand.New(rand.NewPCG(1, 1)))
				l.spend(f, settle)
				back := time.Now()
				l.spend(f, 3*simRetries.Window)
				most, from := l.most(simRetries.Window)
				require.LessOrEqual(t, most, int(simRetries.Extra), "in the window that begins %v after the start", from.Sub(l[0]))
				require.NotZero(t, l.since(back), "retries after the troubles")
			})
		})
	}
}
