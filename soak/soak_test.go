package soak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/soak"
)

// testDuration is the duration of faults and load for each seed.
const testDuration = 4 * time.Second

// TestSoak runs the real program with one fixed seed and with every seed that has ever failed.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "hibiscuscart")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/hibiscuscart").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range append([]uint64{7}, failedSeeds(t)...) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			res, err := soak.Run(context.Background(), soak.Options{Program: program, Dir: t.TempDir(), Seed: seed, Duration: testDuration})
			require.NoError(t, err)
			require.Empty(t, res.Violations)
			require.NotZero(t, res.Served)
			require.NotEmpty(t, res.Faults)
		})
	}
}

// failedSeeds returns the seeds that have failed in the past. The file has one seed per line, followed
// by the cause of its failure.
func failedSeeds(t *testing.T) []uint64 {
	t.Helper()
	data, err := os.ReadFile("testdata/seeds.txt")
	require.NoError(t, err)
	var seeds []uint64
	for line := range strings.Lines(string(data)) {
		text, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if text == "" || text == "#" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seeds = append(seeds, seed)
	}
	return seeds
}
