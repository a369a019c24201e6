package peers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Guards against keeping back a report that says something new, and against reports of VMs at rest, of which
// a fleet of a thousand would send thousands a second.
func TestReportWorthSending(t *testing.T) {
	busy := &wire.VMReport{Vms: 1, Loads: []wire.ServerLoad{{Server: "a", Running: 1}}}
	idle := &wire.VMReport{Vms: 1}
	tests := map[string]struct {
		report, last *wire.VMReport
		want         bool
	}{
		"nothing new":              {&wire.VMReport{Vms: 1}, idle, false},
		"load":                     {busy, idle, true},
		"end of the load":          {idle, busy, true},
		"demand":                   {&wire.VMReport{Vms: 1, Wants: []wire.ModelWant{{Model: "m"}}}, idle, true},
		"a server that leaves":     {&wire.VMReport{Vms: 1, WillExit: []string{"a"}}, idle, true},
		"an unreachable server":    {&wire.VMReport{Vms: 1, Doubts: []string{"a"}}, idle, true},
		"a crash":                  {&wire.VMReport{Vms: 1, Crashes: []wire.RequestCrash{{Server: "a"}}}, idle, true},
		"an answer to a suspect":   {&wire.VMReport{Vms: 1, Answered: []string{"f"}}, idle, true},
		"a rate limit":             {&wire.VMReport{Vms: 1, Limits: []wire.ServerLimit{{Server: "a"}}}, idle, true},
		"tokens of a team":         {&wire.VMReport{Vms: 1, Spends: []wire.TeamSpend{{}}}, idle, true},
		"quota levels":             {&wire.VMReport{Vms: 1, Levels: []wire.TeamSpend{{}}}, idle, true},
		"paces of servers":         {&wire.VMReport{Vms: 1, ZzzzzPaceSamples: []wire.PaceSamples{{Server: "a"}}}, idle, true},
		"another number of VMs":    {&wire.VMReport{Vms: 2}, idle, true},
		"it relays from now on":    {&wire.VMReport{Vms: 1, Relaying: true}, idle, true},
		"it goes on relaying idle": {&wire.VMReport{Vms: 1, Relaying: true}, &wire.VMReport{Vms: 1, Relaying: true}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, worthSending(tc.report, tc.last)) })
	}
}
