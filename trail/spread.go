package trail

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// Messages of the log lines with which a VM states that it knows of a change.
const (
	messageConfigInForce = "configuration in force"
	messageServerUnused  = "entry missing; server no longer used"
	messageLeaseHolder   = "controller lease has another holder"
)

// changeKind is the kind of a change that spreads to all VMs.
type changeKind int

const (
	configChange changeKind = iota
	serverGone
	holderChange
)

var changeKindNames = map[changeKind]string{configChange: "configuration", serverGone: "server gone", holderChange: "lease holder"}

// change identifies a change: the operators' version of the configuration, a server, or the holder of the lease.
type change struct {
	kind changeKind
	name textID
}

// runningSpan is the time from the first to the last line of a VM.
type runningSpan struct{ first, last int64 }

// addChange records that a VM knows of a change. A VM that restarts learns of it again; the first time
// counts.
func (l *Log) addChange(vm textID, parsed *logLine) {
	var c change
	switch parsed.Message {
	case messageConfigInForce:
		c = change{configChange, l.texts.id(fmt.Sprint("version ", parsed.ConfigVersion))}
	case messageServerUnused:
		c = change{serverGone, l.texts.id(parsed.Server)}
	case messageLeaseHolder:
		c = change{holderChange, l.texts.id(parsed.Holder)}
	default:
		return
	}
	if l.changes == nil {
		l.changes = make(map[change]map[textID]int64)
	}
	if l.changes[c] == nil {
		l.changes[c] = make(map[textID]int64)
	}
	at := parsed.Time.UnixNano()
	if known, ok := l.changes[c][vm]; !ok || at < known {
		l.changes[c][vm] = at
	}
}

func (l *Log) extendRunning(vm textID, at int64) {
	if l.running == nil {
		l.running = make(map[textID]runningSpan)
	}
	span, ok := l.running[vm]
	if !ok {
		span = runningSpan{at, at}
	}
	l.running[vm] = runningSpan{min(span.first, at), max(span.last, at)}
}

// spread is how a change reached the VMs.
type spread struct {
	change
	first int64
	// known is the number of VMs that state it, running the number of VMs whose lines begin before and
	// end after its first line.
	known, running int
	// half, most and all are the times until half, 99% and all of the running VMs knew it; negative
	// if they never did.
	half, most, all time.Duration
}

func (l *Log) spreads() []spread {
	list := make([]spread, 0, len(l.changes))
	for c, reached := range l.changes {
		s := spread{change: c, known: len(reached), first: math.MaxInt64}
		for _, at := range reached {
			s.first = min(s.first, at)
		}
		var delays []time.Duration
		for vm, span := range l.running {
			if span.first > s.first || span.last < s.first {
				continue
			}
			s.running++
			if at, ok := reached[vm]; ok {
				delays = append(delays, time.Duration(at-s.first))
			}
		}
		slices.Sort(delays)
		s.half, s.most, s.all = delayOf(delays, s.running, 0.5), delayOf(delays, s.running, 0.99), delayOf(delays, s.running, 1)
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b spread) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.first, b.first), cmp.Compare(a.name, b.name))
	})
	return list
}

// delayOf returns the delay after which a share of a number of VMs was reached; negative for never.
func delayOf(delays []time.Duration, vms int, share float64) time.Duration {
	n := int(math.Ceil(share * float64(vms)))
	if n == 0 || n > len(delays) {
		return -1
	}
	return delays[n-1]
}

// WriteSpread writes how long each change took to reach the VMs: versions of the configuration, servers
// that are gone, and holders of the controller lease. Only VMs that log at that time count. It returns
// an error if no line states a change.
func (l *Log) WriteSpread(w io.Writer) error {
	list := l.spreads()
	if len(list) == 0 {
		return fmt.Errorf("none of the %d lines states a change that spreads to all VMs", l.lines)
	}
	t := newTable(w)
	t.writeRow("change", "", "first at", "VMs", "of", "ms to half", "0.99", "all")
	for _, s := range list {
		t.writeRow(changeKindNames[s.kind], l.texts.text(s.name), formatTime(s.first), s.known, s.running,
			formatDelay(s.half), formatDelay(s.most), formatDelay(s.all))
	}
	l.writeBadLines(t)
	return t.close()
}

func formatDelay(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprint(d.Milliseconds())
}
