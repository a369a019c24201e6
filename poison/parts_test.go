package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/poison"
)

// crashUnder records the end of a server while requests with prompts are in progress on it.
func crashUnder(t *poison.PartTracker, now time.Time, server string, prompts ...[]poison.Part) {
	for _, p := range prompts {
		t.ConnectionLost(now, p, server)
	}
	t.ProcessEnded(now, server)
}

// crashServers records the ends of n servers, s0 and on, with a step between them, each while requests with prompts
// are in progress on it.
func crashServers(t *poison.PartTracker, n int, from time.Time, step time.Duration, prompts ...[]poison.Part) {
	for i := range n {
		crashUnder(t, from.Add(time.Duration(i)*step), server(i), prompts...)
	}
}

func server(n int) string { return fmt.Sprint("s", n) }

// second returns the time n seconds after start.
func second(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }

func prompt(parts ...poison.Part) []poison.Part { return parts }

// blockedParts returns the parts that are blocked at a time.
func blockedParts(t *poison.PartTracker, now time.Time) []poison.Part {
	var parts []poison.Part
	for _, s := range t.Suspects(now) {
		if s.BlockedFor > 0 {
			parts = append(parts, s.Part)
		}
	}
	return parts
}

// blockedPartsCases are courses of crashes and survivors, with the parts that are blocked nine seconds after the start.
var blockedPartsCases = map[string]struct {
	do   func(p *poison.PartTracker)
	want []poison.Part
}{
	"four servers end under one part": {func(p *poison.PartTracker) {
		for i := range 4 {
			crashUnder(p, second(i), server(i), prompt("app", "dead", poison.Part(fmt.Sprint("m", i))))
		}
	}, prompt("dead")},
	"three servers": {func(p *poison.PartTracker) {
		crashServers(p, 3, start, time.Second, prompt("app", "dead"))
	}, nil},
	"the same server, seen by several requests": {func(p *poison.PartTracker) {
		for i := range 9 {
			crashUnder(p, second(i), "s", prompt("app", "dead"))
		}
	}, nil},
	"the first part is the only one": {func(p *poison.PartTracker) {
		crashServers(p, 6, start, time.Second, prompt("dead"))
	}, prompt("dead")},
	"the first part, at five servers": {func(p *poison.PartTracker) {
		crashServers(p, 5, start, time.Second, prompt("app"))
	}, nil},
	"a proven part, at seven servers": {func(p *poison.PartTracker) {
		for range 5 {
			p.Survived(second(-20), prompt("app", "menu"))
		}
		crashServers(p, 7, start, time.Second, prompt("app", "menu"))
	}, nil},
	"a proven part, at eight servers": {func(p *poison.PartTracker) {
		for range 5 {
			p.Survived(second(-20), prompt("app", "menu"))
		}
		crashServers(p, 8, start, time.Second, prompt("app", "menu"))
	}, prompt("menu")},
	"the first part, and others differ": {func(p *poison.PartTracker) {
		for i := range 6 {
			crashUnder(p, second(i), server(i), prompt("dead", poison.Part(fmt.Sprint("m", i))))
		}
	}, prompt("dead")},
	"sound requests survive the part before it": {func(p *poison.PartTracker) {
		for i := range 6 {
			p.Survived(second(i), prompt("app", "menu"))
			crashUnder(p, second(i), server(i), prompt("app", "menu", "dead"))
		}
	}, prompt("dead")},
	"sound requests survive the part": {func(p *poison.PartTracker) {
		for i := range 8 {
			crashUnder(p, second(i), server(i), prompt("app", "menu"))
			p.Survived(second(i), prompt("app", "menu"))
		}
	}, nil},
	"no sound request survives the part before it": {func(p *poison.PartTracker) {
		crashServers(p, 4, start, time.Second, prompt("app", "menu", "dead"), prompt("app", "menu"))
	}, prompt("dead")},
	"a session is present at four of six": {func(p *poison.PartTracker) {
		for i := range 6 {
			prompts := [][]poison.Part{prompt("app", "dead")}
			if i < 4 {
				prompts = append(prompts, prompt("app", "session"))
			}
			crashUnder(p, second(0).Add(time.Duration(i)*200*time.Millisecond), server(i), prompts...)
		}
	}, prompt("dead")},
	"two parts, one after the other": {func(p *poison.PartTracker) {
		crashServers(p, 5, start, time.Second, prompt("app", "dead"))
		p.BlockedFor(second(6), prompt("dead"))
		for i := range 4 {
			crashUnder(p, second(6).Add(time.Duration(i)*500*time.Millisecond), server(10+i), prompt("app", "grave"))
		}
	}, prompt("dead", "grave")},
	"servers that end without requests of note": {func(p *poison.PartTracker) {
		for i := range 8 {
			crashUnder(p, second(i), server(i), prompt("app", poison.Part(fmt.Sprint("m", i))), prompt("app2", poison.Part(fmt.Sprint("n", i))))
			p.Survived(second(i), prompt("app", "app2"))
		}
	}, nil},
	"servers that live on": {func(p *poison.PartTracker) {
		for i := range 8 {
			p.ConnectionLost(second(i), prompt("app", "dead"), server(i))
		}
	}, nil},
	"long ago": {func(p *poison.PartTracker) {
		crashServers(p, 3, second(-3000), time.Second, prompt("app", "dead"))
		crashUnder(p, second(0), "late", prompt("app", "dead"))
	}, nil},
}

// Guards against blocking parts that were merely present, that sound requests survive or with which all prompts begin,
// and against not blocking the one under which servers end.
func TestBlockedParts(t *testing.T) {
	for name, tc := range blockedPartsCases {
		t.Run(name, func(t *testing.T) {
			var p poison.PartTracker
			tc.do(&p)
			require.Equal(t, tc.want, blockedParts(&p, second(9)))
		})
	}
}

// Guards against repeats of one request, which is blocked by itself after three crashes, that hide the part under which
// all of its servers ended.
func TestBlockedRequestsAreEvidence(t *testing.T) {
	var p poison.PartTracker
	var requests poison.Tracker
	for i := range 6 {
		server := fmt.Sprint("s", i)
		crashUnder(&p, start, server, prompt("app", "dead"))
		requests.ConnectionLost(start, poison.Fingerprint(fmt.Sprint("r", i/3)), server)
		requests.ProcessEnded(start, server)
	}
	require.NotZero(t, requests.BlockedFor(start, "r0"))
	require.Equal(t, prompt("dead"), blockedParts(&p, start.Add(time.Second)))
}

// Guards against blocking at once, before the survivors and crashes that other VMs have seen are known.
func TestPartIsBlockedWhenEvidenceHasSettled(t *testing.T) {
	var p poison.PartTracker
	crashServers(&p, 4, start, 0, prompt("app", "dead"))
	_, left := p.BlockedFor(start.Add(900*time.Millisecond), prompt("app", "dead"))
	require.Zero(t, left)
	part, left := p.BlockedFor(start.Add(time.Second), prompt("app", "dead"))
	require.Equal(t, poison.Part("dead"), part)
	require.Equal(t, time.Hour, left)
	_, left = p.BlockedFor(start.Add(time.Second), prompt("app", "menu"))
	require.Zero(t, left)
}

// Guards against a part that stays blocked at some VMs although a sound request has survived it.
func TestSurvivorClearsBlockedPart(t *testing.T) {
	var controller, vm, other poison.PartTracker
	crashServers(&vm, 4, start, 0, prompt("app", "menu"))
	controller.AddReport(start, vm.TakeReport())
	later := start.Add(2 * time.Second)
	require.Equal(t, prompt("menu"), blockedParts(&controller, later))
	for _, p := range []*poison.PartTracker{&vm, &other} {
		p.MergeSuspects(later, controller.Suspects(later), true)
		require.Equal(t, prompt("menu"), blockedParts(p, later))
	}
	other.Survived(later, prompt("app", "menu"))
	require.Empty(t, blockedParts(&other, later))
	controller.AddReport(later, other.TakeReport())
	require.Empty(t, blockedParts(&controller, later))
	vm.MergeSuspects(later, controller.Suspects(later), true)
	require.Empty(t, blockedParts(&vm, later))
}

// Guards against a VM that judges by its own crashes while the controller knows survivors of other VMs, and against
// one that has lost the controller and never judges.
func TestControllerJudges(t *testing.T) {
	var vm poison.PartTracker
	vm.MergeSuspects(start, nil, true)
	crashServers(&vm, 4, start, 0, prompt("app", "menu"))
	vm.MergeSuspects(start.Add(time.Second), nil, true)
	require.Empty(t, blockedParts(&vm, start.Add(2*time.Second)))
	require.Equal(t, prompt("menu"), blockedParts(&vm, start.Add(4*time.Second)))
}

// Guards against a survivor that one VM has seen long before the others suspect the part.
func TestToldSuspectIsCleared(t *testing.T) {
	var controller, vm poison.PartTracker
	vm.Survived(start, prompt("app"))
	crashServers(&controller, 3, start, 0, prompt("app", "dead"))
	vm.MergeSuspects(start, controller.Suspects(start), true)
	controller.AddReport(start, vm.TakeReport())
	for _, s := range controller.Suspects(start) {
		require.NotEqual(t, poison.Part("app"), s.Part)
	}
}

// Guards against a next controller that knows nothing of crashes that were told to the one before, and against a
// block that a start or a change of the controller ends.
func TestEvidenceOutlivesController(t *testing.T) {
	var next poison.PartTracker
	for i := range 4 {
		var vm poison.PartTracker
		crashUnder(&vm, start, fmt.Sprint("s", i), prompt("app", "dead"))
		vm.TakeReport()
		vm.MarkUnreported()
		next.AddReport(start, vm.TakeReport())
	}
	later := start.Add(time.Second)
	require.Equal(t, prompt("dead"), blockedParts(&next, later))
	var restarted poison.PartTracker
	restarted.MergeSuspects(later, next.Suspects(later), false)
	_, left := restarted.BlockedFor(later, prompt("app", "dead"))
	require.Equal(t, time.Hour, left)
}

// Guards against an expired block that lets four more servers crash.
func TestPartBlockIsRenewedByOneCrash(t *testing.T) {
	p := poison.PartTracker{BlockDuration: time.Minute}
	crashServers(&p, 4, start, 0, prompt("app", "dead"))
	require.Equal(t, prompt("dead"), blockedParts(&p, start.Add(time.Second)))
	expired := start.Add(2 * time.Minute)
	require.Empty(t, blockedParts(&p, expired))
	crashUnder(&p, expired, "late", prompt("app", "dead"))
	require.Equal(t, prompt("dead"), blockedParts(&p, expired.Add(time.Second)))
}

// Guards against memory and reports that grow with the number of parts, and against losing the part under which
// servers end among them.
func TestManyParts(t *testing.T) {
	var p poison.PartTracker
	for i := range 300 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for j := range 400 {
			p.ConnectionLost(now, prompt("app", poison.Part(fmt.Sprint("m", i, "-", j))), fmt.Sprint("s", i))
		}
		p.ProcessEnded(now, fmt.Sprint("s", i))
	}
	for i := range 4 {
		crashUnder(&p, start.Add(4*time.Second), fmt.Sprint("t", i), prompt("app", "dead"))
	}
	for i := range 20_000 {
		p.Survived(start.Add(4*time.Second), prompt(poison.Part(fmt.Sprint("x", i))))
	}
	for r := p.TakeReport(); !r.Empty(); r = p.TakeReport() {
		n := len(r.Survived)
		for _, c := range r.Crashes {
			n += len(c.Parts)
		}
		require.LessOrEqual(t, n, 512)
	}
	require.NotEmpty(t, blockedParts(&p, start.Add(5*time.Second)))
	require.LessOrEqual(t, len(blockedParts(&p, start.Add(5*time.Second))), 64)
}

// Guards against VMs behind a relay that are not asked for survivors of a part, as the relay has seen none of the
// crashes.
func TestRelayPassesSuspectsOn(t *testing.T) {
	var controller, relay, leaf poison.PartTracker
	crashServers(&controller, 3, start, 0, prompt("app", "menu"))
	leaf.Survived(start, prompt("menu"))
	relay.MergeSuspects(start, controller.Suspects(start), true)
	leaf.MergeSuspects(start, relay.Suspects(start), true)
	report := leaf.TakeReport()
	require.Equal(t, prompt("menu"), report.Survived)
	relay.AddReport(start, report)
	controller.AddReport(start, relay.TakeReport())
	crashUnder(&controller, start, "s9", prompt("app", "menu"))
	require.Empty(t, blockedParts(&controller, start.Add(2*time.Second)))
}
