// Command soak runs the soak test with fault injection against a built hibiscuscart program, once per
// seed, and prints one JSON object per seed. It exits with status 1 if a guarantee was violated or a
// run failed.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/soak"
)

func main() {
	program := flag.String("program", "target/hibiscuscart", "`PATH` of the built program")
	dir := flag.String("dir", "", "`FOLDER` for settings and logs, kept only for failed seeds (default a temporary folder)")
	firstSeed := flag.Uint64("from", uint64(time.Now().UnixNano()), "first `SEED`")
	seedCount := flag.Int("seeds", 1, "number of seeds to run")
	duration := flag.Duration("for", 6*time.Second, "duration of faults and load for each seed")
	concurrency := flag.Int("jobs", 2, "number of seeds to run concurrently")
	noCuts := flag.Bool("no-cuts", false, "do not cut single VMs off from the servers, for builds without the setting that this needs")
	flag.Parse()
	if err := run(*program, *dir, *firstSeed, *seedCount, *concurrency, *duration, *noCuts); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(program, dir string, firstSeed uint64, seedCount, concurrency int, duration time.Duration, noCuts bool) error {
	program, err := filepath.Abs(program)
	if err != nil {
		return fmt.Errorf("resolve path of program: %w", err)
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return fmt.Errorf("create folder for settings and logs: %w", err)
		}
	}
	slots, failed := make(chan struct{}, max(concurrency, 1)), 0
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range seedCount {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			ok := runSeed(program, filepath.Join(dir, fmt.Sprint(firstSeed+uint64(i))), firstSeed+uint64(i), duration, noCuts)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			}
		})
	}
	wait.Wait()
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; logs under %s", failed, seedCount, dir)
	}
	return nil
}

// runSeed runs one seed and reports whether the run succeeded without a violated guarantee.
func runSeed(program, dir string, seed uint64, duration time.Duration, noCuts bool) bool {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	res, err := soak.Run(context.Background(), soak.Options{Program: program, Dir: dir, Seed: seed, Duration: duration, NoCuts: noCuts})
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", seed, err)
		return false
	}
	line, err := json.Marshal(res)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	fmt.Println(string(line))
	if len(res.Violations) > 0 {
		return false
	}
	// The logs of a successful run are not kept.
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	return true
}
