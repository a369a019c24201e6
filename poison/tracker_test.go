package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/poison"
)

var start = time.Unix(1000, 0)

const request = poison.Fingerprint("00000000000000aa")

// crash records the end of a server process while the request is in progress on it.
func crash(t *poison.Tracker, now time.Time, server string) {
	t.ConnectionLost(now, request, server)
	t.ProcessEnded(now, server)
}

// Guards against blocking a request too late or for reasons other than server crashes.
func TestBlocked(t *testing.T) {
	tests := map[string]struct {
		do      func(tr *poison.Tracker)
		blocked bool
	}{
		"three servers crashed": {func(tr *poison.Tracker) {
			for _, s := range []string{"a", "b", "c"} {
				crash(tr, start, s)
			}
		}, true},
		"two servers crashed": {func(tr *poison.Tracker) {
			crash(tr, start, "a")
			crash(tr, start, "b")
		}, false},
		"one server crashed during three sends": {func(tr *poison.Tracker) {
			for range 3 {
				tr.ConnectionLost(start, request, "a")
			}
			tr.ProcessEnded(start, "a")
		}, false},
		"connections lost and servers still running": {func(tr *poison.Tracker) {
			for _, s := range []string{"a", "b", "c", "d"} {
				tr.ConnectionLost(start, request, s)
			}
		}, false},
		"servers ended before the connections were lost": {func(tr *poison.Tracker) {
			for _, s := range []string{"a", "b", "c"} {
				tr.ProcessEnded(start, s)
				tr.ConnectionLost(start.Add(4*time.Second), request, s)
			}
		}, true},
		"servers ended long after the connections were lost": {func(tr *poison.Tracker) {
			for _, s := range []string{"a", "b", "c"} {
				tr.ConnectionLost(start, request, s)
				tr.ProcessEnded(start.Add(5*time.Second), s)
			}
		}, false},
		"a server completed it between two crashes": {func(tr *poison.Tracker) {
			crash(tr, start, "a")
			crash(tr, start, "b")
			tr.Answered(start, request)
			crash(tr, start, "c")
		}, false},
		"three VMs detected one crash each": {func(tr *poison.Tracker) {
			for _, s := range []string{"a", "b", "c"} {
				var vm poison.Tracker
				crash(&vm, start, s)
				tr.AddReport(start, vm.TakeReport())
			}
		}, true},
		"three VMs detected the same crash": {func(tr *poison.Tracker) {
			for range 3 {
				var vm poison.Tracker
				crash(&vm, start, "a")
				tr.AddReport(start, vm.TakeReport())
			}
		}, false},
		"crashes an hour apart": {func(tr *poison.Tracker) {
			for i, s := range []string{"a", "b", "c"} {
				crash(tr, start.Add(time.Duration(i-3)*time.Hour), s)
			}
		}, false},
		"crashes forty minutes apart": {func(tr *poison.Tracker) {
			for i, s := range []string{"a", "b", "c"} {
				crash(tr, start.Add(time.Duration(i-2)*40*time.Minute), s)
			}
		}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var tr poison.Tracker
			tc.do(&tr)
			require.Equal(t, tc.blocked, tr.BlockedFor(start.Add(time.Second), request) > 0)
		})
	}
}

// Guards against an expired block that lets three more servers crash, and against a block that
// never expires.
func TestBlockIsRenewedByOneCrash(t *testing.T) {
	tr := poison.Tracker{CrashLimit: 3, BlockDuration: time.Minute}
	for _, s := range []string{"a", "b", "c"} {
		crash(&tr, start, s)
	}
	require.Equal(t, time.Minute, tr.BlockedFor(start, request))
	later := start.Add(time.Minute)
	require.Zero(t, tr.BlockedFor(later, request))
	crash(&tr, later, "d")
	require.Equal(t, time.Minute, tr.BlockedFor(later, request))
}

// Guards against a VM losing local crashes when it merges the controller's suspects, which do not
// include them yet, and against a local block that does not reach other VMs.
func TestMergeSuspects(t *testing.T) {
	var controller, vm, other poison.Tracker
	for _, s := range []string{"a", "b"} {
		crash(&vm, start, s)
	}
	vm.MergeSuspects(start, controller.Suspects(start))
	controller.AddReport(start, vm.TakeReport())
	require.True(t, vm.TakeReport().Empty(), "crashes are reported only once")
	crash(&vm, start, "c")
	vm.MergeSuspects(start, controller.Suspects(start))
	require.Equal(t, time.Hour, vm.BlockedFor(start, request))
	controller.AddReport(start, vm.TakeReport())
	other.MergeSuspects(start, controller.Suspects(start))
	require.Equal(t, time.Hour, other.BlockedFor(start, request))
	require.True(t, other.TakeReport().Empty(), "suspects from the controller are not reported back")
}

// Guards against a new controller missing crashes that were reported to its predecessor.
func TestReportsAreRepeatedForTheNextController(t *testing.T) {
	var next poison.Tracker
	for _, s := range []string{"a", "b", "c"} {
		var vm poison.Tracker
		crash(&vm, start, s)
		vm.TakeReport()
		vm.MarkUnreported()
		next.AddReport(start, vm.TakeReport())
	}
	require.NotZero(t, next.BlockedFor(start, request))
}

// Guards against thousands of requests interrupted by an outage evicting the record of the request
// that crashes servers, and against unbounded memory use.
func TestManySuspects(t *testing.T) {
	var tr poison.Tracker
	crash(&tr, start, "a")
	crash(&tr, start, "b")
	for i := range 20_000 {
		tr.ConnectionLost(start, poison.Fingerprint(fmt.Sprintf("%016x", i)), "big")
	}
	tr.ProcessEnded(start, "big")
	crash(&tr, start, "c")
	require.NotZero(t, tr.BlockedFor(start, request))
	require.Len(t, tr.Suspects(start), 1)
	reports, crashes := 0, 0
	for r := tr.TakeReport(); !r.Empty(); r = tr.TakeReport() {
		reports, crashes = reports+1, crashes+len(r.Crashes)
		require.LessOrEqual(t, len(r.Crashes), 256)
	}
	require.Greater(t, reports, 1)
	require.LessOrEqual(t, crashes, 4096+3)
}

// Guards against a crash limit of one that blocks a request only on the VM that detected the crash.
func TestSuspectsWithLimitOfOne(t *testing.T) {
	vm, other := poison.Tracker{CrashLimit: 1}, poison.Tracker{CrashLimit: 1}
	crash(&vm, start, "a")
	other.MergeSuspects(start, vm.Suspects(start))
	require.Equal(t, time.Hour, other.BlockedFor(start, request))
}

// Guards against logging several crashes if one crash interrupts several connections of a request.
func TestOnCrashIsCalledOncePerServer(t *testing.T) {
	calls := 0
	tr := poison.Tracker{OnCrash: func(poison.Crash, int) { calls++ }}
	for range 3 {
		tr.ConnectionLost(start, request, "a")
	}
	tr.ProcessEnded(start, "a")
	tr.ConnectionLost(start, request, "a")
	require.Equal(t, 1, calls)
}
