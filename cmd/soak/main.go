// Command soak runs seeds of the fault soak against a built hibiscuscart and
// prints one JSON object a seed. It exits with 1 when a promise was broken.
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
	dir := flag.String("dir", "", "`FOLDER` for settings and logs; a seed that failed keeps its own there (default a temporary one)")
	from := flag.Uint64("from", uint64(time.Now().UnixNano()), "first `SEED`")
	seeds := flag.Int("seeds", 1, "how many seeds to run")
	length := flag.Duration("for", 6*time.Second, "how long faults and load go on for each seed")
	jobs := flag.Int("jobs", 2, "seeds at once")
	flag.Parse()
	if err := run(*program, *dir, *from, *seeds, *jobs, *length); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(program, dir string, from uint64, seeds, jobs int, length time.Duration) error {
	program, err := filepath.Abs(program)
	if err != nil {
		return fmt.Errorf("find program: %w", err)
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return fmt.Errorf("make folder: %w", err)
		}
	}
	slots, failed := make(chan struct{}, max(jobs, 1)), 0
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range seeds {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			ok := one(program, filepath.Join(dir, fmt.Sprint(from+uint64(i))), from+uint64(i), length)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			}
		})
	}
	wait.Wait()
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise; logs under %s", failed, seeds, dir)
	}
	return nil
}

// one runs a seed and reports whether all promises held.
func one(program, dir string, seed uint64, length time.Duration) bool {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	res, err := soak.Run(context.Background(), soak.Options{Program: program, Dir: dir, Seed: seed, For: length})
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
	if len(res.Broken) > 0 {
		return false
	}
	// What held needs no logs.
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	return true
}
