package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func fleet(vms, domains int) []Keeper {
	var all []Keeper
	for i := range vms {
		all = append(all, Keeper{Address: fmt.Sprintf("10.0.%d.%d:7500", i/256, i%256), Domain: fmt.Sprintf("d%d", i%domains)})
	}
	return all
}

// Guards against an origin that nobody finds: the VM that began the stream and the one that goes on choose keepers
// apart, in the same failure domain or not, with lists that differ by VMs that have ended.
func TestKeepersOfBothVMsOverlap(t *testing.T) {
	tests := map[string]struct {
		vms, domains, ended int
		sameDomain          bool
	}{
		"same list":                          {9, 3, 0, false},
		"the VM has ended":                   {9, 3, 1, true},
		"a quarter has ended":                {40, 4, 10, true},
		"a quarter has ended, other domain":  {40, 4, 10, false},
		"a large fleet, a tenth has ended":   {985, 6, 98, false},
		"three VMs, the first one has ended": {3, 3, 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			all := fleet(tc.vms, tc.domains)
			first := all[0]
			next := all[len(all)-1]
			if tc.sameDomain {
				next = all[tc.domains]
			}
			left := all[tc.ended:]
			const attempts = 1000
			found := 0
			for i := range attempts {
				attempt := fmt.Sprintf("attempt-%d", i)
				told := KeepersOf(attempt, all, first.Domain, first.Address)
				require.Len(t, told, min(len(all)-1, keepersPerAttempt))
				require.NotContains(t, told, first.Address)
				holders := map[string]bool{}
				for _, k := range told {
					holders[k] = true
				}
				ok := holders[next.Address]
				for _, k := range KeepersOf(attempt, left, next.Domain, next.Address) {
					ok = ok || holders[k]
				}
				if ok {
					found++
				}
			}
			require.Greater(t, found, attempts*9/10)
		})
	}
}

// Guards against a failure domain that is cut off and can take up none of its own streams: one keeper is in it.
func TestKeeperInOwnDomain(t *testing.T) {
	all := fleet(12, 4)
	for i := range 100 {
		told := KeepersOf(fmt.Sprintf("a%d", i), all, all[1].Domain, all[1].Address)
		require.Equal(t, told[:1], KeepersOf(fmt.Sprintf("a%d", i), []Keeper{all[5], all[9]}, all[1].Domain, all[1].Address)[:1])
	}
}

// Guards against a VM whose memory grows with its streams, and against an origin that is dropped although its
// attempt was told again.
func TestStoreIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Store{}
	s.Put(now, "again", Record{"s", "v1"})
	for i := range maxRecords * 2 {
		s.Put(now, fmt.Sprint(i), Record{"s", "v1"})
		require.LessOrEqual(t, s.Len(), maxRecords+1)
	}
	_, ok := s.Get(now, "again")
	require.False(t, ok)
	require.LessOrEqual(t, len(s.order), 2*(maxRecords+2))
	s.Put(now.Add(time.Second), "again", Record{"s", "v2"})
	s.Put(now.Add(30*time.Second), "again", Record{"s", "v2"})
	r, ok := s.Get(now.Add(30*time.Second+Retention-1), "again")
	require.True(t, ok)
	require.Equal(t, Record{"s", "v2"}, r)
	_, ok = s.Get(now.Add(30*time.Second+Retention), "again")
	require.False(t, ok)
	require.Zero(t, s.Len())
	require.Empty(t, s.order)
}

// Guards against origins without a version and attempts of any length.
func TestStoreRejects(t *testing.T) {
	s := &Store{}
	long := make([]byte, MaxAttemptBytes+1)
	s.Put(time.Unix(1, 0), string(long), Record{"s", "v1"})
	s.Put(time.Unix(1, 0), "a", Record{"s", ""})
	s.Put(time.Unix(1, 0), "", Record{"s", "v1"})
	require.Zero(t, s.Len())
}

func BenchmarkKeepersOf(b *testing.B) {
	all := fleet(128, 6)
	for b.Loop() {
		KeepersOf("0123456789abcdef", all, all[0].Domain, all[0].Address)
	}
}
