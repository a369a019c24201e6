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

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "hibiscuscart")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/hibiscuscart").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// TestSoak runs the real program with one fixed seed and with every seed that has ever failed.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
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

// Guards against answers that are cut beside planned work alone, as VMs stop while sound servers are silent, and whether
// or not the VMs have been able to measure how long streams last.
func TestSoakPlannedWork(t *testing.T) {
	program := buildProgram(t)
	for name, seed := range map[string]uint64{"pace not known": 7, "pace measured": 8} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res, err := soak.Run(context.Background(), soak.Options{Program: program, Dir: t.TempDir(), Seed: seed, Duration: testDuration, Planned: true})
			require.NoError(t, err)
			require.Empty(t, res.Violations)
			require.NotZero(t, res.Served)
			for _, fault := range []string{"planned_stop", "planned_reload", "planned_change", "planned_silence"} {
				require.NotZero(t, res.Faults[fault], fault)
			}
		})
	}
}

// Guards against a request that runs twice, or is refused though it runs, beside refusals that come twice and silences.
func TestSoakRepeatedRefusals(t *testing.T) {
	res, err := soak.Run(context.Background(), soak.Options{Program: buildProgram(t), Dir: t.TempDir(), Seed: 7, Duration: testDuration, Repeats: true})
	require.NoError(t, err)
	require.NotZero(t, res.Faults["refusal_repeated"])
	require.NotZero(t, res.Served)
	require.Empty(t, res.Violations)
}

// Guards against a stream that goes on at another software version, or with an event too many or too few, at a VM that is
// out of step with the others as servers of a new version join.
func TestSoakVMOutOfStep(t *testing.T) {
	program := buildProgram(t)
	const nothingElse = `"StandsStill": false, "Slices": false, "AllSlices": false, "Others": "others_go_on", "Rollback": false, "Third": false, "Restarts": false, "WithoutPath": false, "Twice": false`
	for name, desync := range map[string]string{
		"as drawn":                           "",
		"controller cut from the store":      `{"Leads": true, "StoreHeld": true, "Links": "links_sound", ` + nothingElse + `}`,
		"what it hears of the others is old": `{"Leads": false, "StoreHeld": false, "Links": "links_slow", "Lead": 2000000000, ` + nothingElse + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res, err := soak.Run(context.Background(), soak.Options{Program: program, Dir: t.TempDir(), Seed: 7, OutOfStep: true, Desync: desync})
			require.NoError(t, err)
			require.Empty(t, res.Violations)
			require.NotEmpty(t, res.TakeUps)
		})
	}
}

// Guards against streams in which an event is missing, comes twice or is of another run or software version, and against
// ends that look complete too early, beside releases, crashes and VMs that have a part of a core.
func TestSoakStreams(t *testing.T) {
	program := buildProgram(t)
	for name, o := range map[string]soak.Options{
		"whole cores":     {Seed: 7},
		"a third of each": {Seed: 8, VMs: 6, Servers: 8, Callers: 24, Share: 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.Program, o.Dir, o.Duration, o.Streams = program, t.TempDir(), testDuration, true
			res, err := soak.Run(context.Background(), o)
			require.NoError(t, err)
			require.Empty(t, res.Violations)
			for _, count := range []string{"stream whole", "stream taken up", "release", "server_crash", "kill"} {
				require.NotZero(t, res.Faults[count], count)
			}
		})
	}
}

// Guards against a VM that ends or stops following because of an odd object in the store, and against requests that are lost
// with the entry of their server.
func TestSoakOddObjects(t *testing.T) {
	res, err := soak.Run(context.Background(), soak.Options{Program: buildProgram(t), Dir: t.TempDir(), Seed: 7, Duration: testDuration, Odd: true})
	require.NoError(t, err)
	for _, fault := range []string{"odd_servers", "odd_config", "odd_leases"} {
		require.NotZero(t, res.Faults[fault], fault)
	}
	require.NotZero(t, res.Served)
	require.Empty(t, res.Violations)
}

// Guards against a VM that does not serve without a word about its process in the error.
func TestRunDescribesVMThatDoesNotServe(t *testing.T) {
	tests := map[string]struct {
		script string
		runs   bool
		want   []string
	}{
		"process exits": {"echo starts; echo cannot listen >&2; exit 3", false, []string{"connection refused", "process has exited: exit status 3", "starts\ncannot listen"}},
		"process runs":  {"echo starts; exec sleep 600", true, []string{"connection refused", "process runs", "starts"}},
	}
	for name, tt := range tests {
		dir := t.TempDir()
		program := filepath.Join(dir, "program")
		// Written before any process starts: one that inherits the open file would keep it from being executed.
		require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\n"+tt.script+"\n"), 0o700))
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if tt.runs {
				go cancelAfterOutput(ctx, cancel, filepath.Join(dir, "vm-0.log"))
			}
			_, err := soak.Run(ctx, soak.Options{Program: program, Dir: dir})
			for _, text := range tt.want {
				require.ErrorContains(t, err, text)
			}
		})
	}
}

// cancelAfterOutput cancels ctx once a log has a line.
func cancelAfterOutput(ctx context.Context, cancel func(), log string) {
	for ctx.Err() == nil {
		if text, err := os.ReadFile(log); err == nil && strings.Contains(string(text), "\n") {
			cancel()
		}
		time.Sleep(time.Millisecond)
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
