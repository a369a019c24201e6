package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/poison"
)

// swappedPair returns guilty and innocent, in this order for odd i and in the other for even i.
func swappedPair(i int) []poison.Part {
	if i%2 == 0 {
		return prompt("innocent", "guilty")
	}
	return prompt("guilty", "innocent")
}

// blockPair makes a tracker block the parts "guilty" and "innocent" together, and returns when it has.
func blockPair(t *testing.T, p *poison.PartTracker) time.Time {
	t.Helper()
	const crashes = 8
	now := start
	for i := range crashes {
		crashUnder(p, now, server(i), append(prompt("app"), swappedPair(i)...))
		now = now.Add(time.Second)
	}
	part, _ := p.BlockedFor(now, prompt("app", "guilty", "innocent"))
	require.NotEmpty(t, part)
	return now
}

// Guards against an innocent part that stays blocked at all VMs but the one that judges, because these are told that it is
// blocked and not that it is only together with the guilty one.
func TestToldPartsStayTied(t *testing.T) {
	tests := map[string]func(now time.Time, judge, told *poison.PartTracker){
		"a VM is told": func(now time.Time, judge, told *poison.PartTracker) {
			told.MergeSuspects(now, judge.Suspects(now), true)
		},
		"a controller reads the record": func(now time.Time, judge, told *poison.PartTracker) {
			told.MergeSuspects(now, judge.Suspects(now), false)
		},
		"a VM behind a relay is told":    func(now time.Time, judge, told *poison.PartTracker) { tellThroughRelay(now, judge, told, true) },
		"a relay had read the record":    func(now time.Time, judge, told *poison.PartTracker) { tellThroughRelay(now, judge, told, false) },
		"the record is read once more":   func(now time.Time, judge, told *poison.PartTracker) { tellTwice(now, judge, told, false) },
		"a VM is told in each heartbeat": func(now time.Time, judge, told *poison.PartTracker) { tellTwice(now, judge, told, true) },
		"the judge reads its own record": func(now time.Time, judge, told *poison.PartTracker) { readOwnRecord(now, judge, told) },
		"the judge's record is untied":   func(now time.Time, judge, told *poison.PartTracker) { readUntiedRecord(now, judge, told) },
	}
	for name, tell := range tests {
		t.Run(name, func(t *testing.T) {
			var judge, told poison.PartTracker
			now := blockPair(t, &judge)
			tell(now, &judge, &told)
			part, _ := told.BlockedFor(now, prompt("app", "innocent", "guilty"))
			require.NotEmpty(t, part)
			part, _ = told.BlockedFor(now, prompt("app", "innocent"))
			require.Empty(t, part)
		})
	}
}

func tellThroughRelay(now time.Time, judge, told *poison.PartTracker, toldRelay bool) {
	var relay poison.PartTracker
	relay.MergeSuspects(now, judge.Suspects(now), toldRelay)
	told.MergeSuspects(now, relay.Suspects(now), true)
}

func tellTwice(now time.Time, judge, told *poison.PartTracker, word bool) {
	told.MergeSuspects(now, judge.Suspects(now), word)
	told.MergeSuspects(now, judge.Suspects(now), word)
}

func readOwnRecord(now time.Time, judge, told *poison.PartTracker) {
	judge.MergeSuspects(now, judge.Suspects(now), false)
	told.MergeSuspects(now, judge.Suspects(now), true)
}

// readUntiedRecord has the judge read a record of a build that knows no ties.
func readUntiedRecord(now time.Time, judge, told *poison.PartTracker) {
	record := judge.Suspects(now)
	for i := range record {
		record[i].Tied = nil
	}
	judge.MergeSuspects(now, record, false)
	told.MergeSuspects(now, judge.Suspects(now), true)
}

// Guards against a guilty part under which each VM loses a server, because none tells the others that it is guilty by itself.
func TestTiedPartFoundGuiltyIsBlockedEverywhere(t *testing.T) {
	var judge, first, relay, second poison.PartTracker
	now := blockPair(t, &judge)
	tell := func() {
		relay.MergeSuspects(now, judge.Suspects(now), true)
		for _, vm := range []*poison.PartTracker{&first, &second} {
			vm.MergeSuspects(now, relay.Suspects(now), true)
		}
	}
	tell()
	alone := prompt("app", "guilty", "other")
	crashUnder(&first, now, "alone", alone)
	tell()
	part, _ := first.BlockedFor(now, alone)
	require.Equal(t, poison.Part("guilty"), part, "at the VM that saw it, though the controller has not heard of it")
	relay.AddReport(now, first.TakeReport())
	judge.AddReport(now, relay.TakeReport())
	tell()
	for name, vm := range map[string]*poison.PartTracker{"judge": &judge, "relay": &relay, "first": &first, "second": &second} {
		part, _ := vm.BlockedFor(now, alone)
		require.Equal(t, poison.Part("guilty"), part, name)
		part, _ = vm.BlockedFor(now, prompt("app", "innocent"))
		require.Empty(t, part, name)
	}
	require.Empty(t, first.TakeReport().Alone, "reported once")
	first.MarkUnreported()
	require.Equal(t, prompt("guilty"), first.TakeReport().Alone, "a new controller is told too")
}

// Guards against a frame that grows with the number of parts under which servers ended.
func TestLongTieIsNotTold(t *testing.T) {
	const parts = 20
	var judge, told poison.PartTracker
	long := make([]poison.Part, parts)
	for i := range long {
		long[i] = poison.Part(fmt.Sprint("p", i))
	}
	for i := range parts {
		crashUnder(&judge, start, fmt.Sprint("s", i), append(prompt("app"), append(slices.Clone(long[i:]), long[:i]...)...))
	}
	now := start.Add(2 * time.Second)
	part, _ := judge.BlockedFor(now, long[1:])
	require.Empty(t, part)
	suspects := judge.Suspects(now)
	require.Len(t, suspects, parts)
	for _, s := range suspects {
		require.Empty(t, s.Tied)
	}
	told.MergeSuspects(now, suspects, true)
	part, _ = told.BlockedFor(now, long[1:])
	require.NotEmpty(t, part)
}

// Guards against an innocent part that stays blocked with the guilty one, because the two change places in the prompts
// that crash servers and no sound request came before: all requests with the innocent part are refused, and none is left
// to clear it.
func TestInnocentPartBesideGuiltyOneIsCleared(t *testing.T) {
	const crashes, soundRequests = 8, 24
	var p poison.PartTracker
	now := start
	for i := range crashes {
		pair := swappedPair(i)
		if part, _ := p.BlockedFor(now, pair); part == "" {
			crashUnder(&p, now, server(i), append(prompt("app"), pair...))
		}
		now = now.Add(time.Second)
	}
	require.Contains(t, blockedParts(&p, now), poison.Part("guilty"))
	refused := 0
	for range soundRequests {
		now = now.Add(time.Second)
		sound := prompt("app", "innocent")
		if part, _ := p.BlockedFor(now, sound); part != "" {
			refused++
			continue
		}
		p.Survived(now, sound)
	}
	require.Less(t, refused, soundRequests)
	require.Equal(t, prompt("guilty"), blockedParts(&p, now))
	part, _ := p.BlockedFor(now, prompt("app", "guilty"))
	require.Equal(t, poison.Part("guilty"), part)
}

// Guards against a guilty part that goes on crashing servers because it is blocked only together with an innocent one.
func TestTiedPartIsBlockedAloneAfterOneCrash(t *testing.T) {
	var p poison.PartTracker
	now := blockPair(t, &p)
	alone := prompt("app", "guilty", "other")
	part, _ := p.BlockedFor(now, alone)
	require.Empty(t, part)
	crashUnder(&p, now, "alone", alone)
	part, _ = p.BlockedFor(now, alone)
	require.Equal(t, poison.Part("guilty"), part)
	part, _ = p.BlockedFor(now, prompt("app", "innocent"))
	require.Empty(t, part)
}

// Guards against a part that goes on because it was blocked at the same moment as another one, under which other servers
// ended.
func TestPartsWithOtherCrashesAreBlockedAlone(t *testing.T) {
	const crashes = 4
	var p poison.PartTracker
	now := start
	for i := range crashes {
		crashUnder(&p, now, fmt.Sprint("a", i), prompt("shop", "first"))
		crashUnder(&p, now, fmt.Sprint("b", i), prompt("desk", "second"))
	}
	now = now.Add(10 * time.Second)
	for _, guilty := range []poison.Part{"first", "second"} {
		part, _ := p.BlockedFor(now, prompt("app", guilty))
		require.Equal(t, guilty, part)
	}
}
