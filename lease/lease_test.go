package lease_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hibiscuscart/hibiscuscart/lease"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// Run the same cases every time.
func init() { _ = flag.Set("rapid.seed", "1") }

const leaseDuration = 3 * time.Second

// object models the platform's object: the era of the store, a revision and a record. copies are what the store may
// come back with in its next era.
type object struct {
	era, revision int
	record        lease.Record
	copies        []object
}

// version returns the version of the record, 0 if there is none.
func (o *object) version() int {
	if o.revision == 0 {
		return 0
	}
	return store.VersionOf(o.era, o.revision)
}

// put writes a record. The store compares revisions only; a writer that expects a version of another era does not
// learn what became of its write.
func (o *object) put(ifVersion int, r lease.Record) (int, bool) {
	era, revision := store.SplitVersion(ifVersion)
	if revision != o.revision {
		return o.version(), false
	}
	o.revision++
	o.record = r
	o.copies = append(o.copies, object{revision: o.revision, record: o.record})
	return o.version(), ifVersion == 0 || era == o.era
}

// restore loses the given number of writes, or all but the first.
func (o *object) restore(lost int) {
	if len(o.copies) == 0 {
		return
	}
	o.copies = o.copies[:max(len(o.copies)-lost, 1)]
	last := o.copies[len(o.copies)-1]
	o.era, o.revision, o.record = o.era+1, last.revision, last.record
}

// TestNeverTwoHolders runs three keepers whose clocks run up to 5% fast or slow. Updates
// are delayed, fail or lose their responses, and keepers pause for long. At no time may two
// keepers report the lease as held, given that a keeper reads its clock after a pause.
func TestNeverTwoHolders(t *testing.T) { rapid.Check(t, neverTwoHolders(false)) }

// Guards against two holders after the store has come back from a copy: the copy can name a holder before the present
// one, and versions are given out again on which a write was conditional.
func TestNeverTwoHoldersAfterRestore(t *testing.T) { rapid.Check(t, neverTwoHolders(true)) }

func neverTwoHolders(restores bool) func(t *rapid.T) {
	return func(t *rapid.T) {
		var o object
		now := time.Unix(1_000_000, 0)
		keepers := make([]*lease.Keeper, 3)
		speeds := make([]float64, 3)
		for i := range keepers {
			keepers[i] = &lease.Keeper{Name: fmt.Sprint("vm-", i), BootID: "1", Duration: leaseDuration}
			speeds[i] = rapid.Float64Range(0.95, 1.05).Draw(t, "speed")
		}
		localTime := func(i int) time.Time {
			return now.Add(time.Duration(float64(now.Sub(time.Unix(1_000_000, 0))) * (speeds[i] - 1)))
		}
		step := func(t *rapid.T, i int) {
			k := keepers[i]
			switch k.Next(localTime(i)) {
			case lease.Wait:
				if !k.Held(localTime(i)) {
					k.Observe(localTime(i), o.version(), o.record)
				}
			default:
				startedAt := localTime(i)
				r, version := k.NextRecord()
				now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "delay ms")) * time.Millisecond)
				next, ok := o.put(version, r)
				if !ok || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					k.UpdateFailed()
					return
				}
				k.UpdateSucceeded(startedAt, next, r)
			}
		}
		actions := map[string]func(*rapid.T){
			"step": func(t *rapid.T) { step(t, rapid.IntRange(0, 2).Draw(t, "keeper")) },
			"all step": func(t *rapid.T) {
				for i := range keepers {
					step(t, i)
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				held := 0
				for i, k := range keepers {
					if k.Held(localTime(i)) {
						held++
					}
				}
				require.LessOrEqual(t, held, 1)
			},
		}
		if restores {
			o.era = rapid.IntRange(0, 1).Draw(t, "first era")
			actions["restore"] = func(t *rapid.T) { o.restore(rapid.IntRange(0, 5).Draw(t, "lost writes")) }
		}
		t.Repeat(actions)
	}
}

func TestTakeover(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a := &lease.Keeper{Name: "a", BootID: "1", Duration: leaseDuration}
	b := &lease.Keeper{Name: "b", BootID: "1", Duration: leaseDuration}
	a.Observe(now, 0, lease.Record{})
	require.Equal(t, lease.Acquire, a.Next(now))
	r, version := a.NextRecord()
	require.Zero(t, version)
	a.UpdateSucceeded(now, 1, r)
	require.True(t, a.Held(now))
	b.Observe(now, 1, r)
	require.Equal(t, lease.Wait, b.Next(now.Add(leaseDuration)))
	require.Equal(t, lease.Acquire, b.Next(now.Add(leaseDuration+leaseDuration/10)))
	require.Equal(t, lease.Renew, a.Next(now.Add(leaseDuration/3)))
	require.False(t, a.Held(now.Add(leaseDuration)))

	released, _ := a.ReleaseRecord()
	b.Observe(now.Add(time.Second), 2, released)
	require.Equal(t, lease.Acquire, b.Next(now.Add(time.Second)), "a released lease can be acquired at once")
}
