// Command soak runs the soak test against a built hibiscuscart program, for each seed once with fault
// injection and once with planned work only, and prints one JSON object for each run. It exits with
// status 1 if a guarantee was violated or a run failed.
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

// keepLogs is set if the logs of a successful run are kept.
var keepLogs bool

func main() {
	program := flag.String("program", "target/hibiscuscart", "`PATH` of the built program")
	dir := flag.String("dir", "", "`FOLDER` for settings and logs, kept only for failed seeds unless -keep is set (default a temporary folder)")
	firstSeed := flag.Uint64("from", uint64(time.Now().UnixNano()), "first `SEED`")
	seedCount := flag.Int("seeds", 1, "number of seeds to run")
	duration := flag.Duration("for", 6*time.Second, "duration of faults and load for each seed")
	concurrency := flag.Int("jobs", 2, "number of seeds to run concurrently")
	noCuts := flag.Bool("no-cuts", false, "do not cut single VMs off from the servers, for builds without the setting that this needs")
	planned := flag.Bool("planned", false, "only run with planned work, not with fault injection")
	repeats := flag.Bool("repeats", false, "only run with refusals that come twice beside silences")
	outOfStep := flag.Bool("outofstep", false, "only run with a VM that is out of step as servers of a new software version join")
	desync := flag.String("desync", "", "`JSON` object with what replaces the drawn disturbance of -outofstep")
	streams := flag.Bool("streams", false, "only read streams to their end beside all that may break them, and check their order")
	share := flag.Float64("share", 0, "with -streams, `PART` of each tenth of a second in which VMs run (default all)")
	odd := flag.Bool("odd", false, "only run with odd objects in the store")
	vms := flag.Int("vms", 0, "`NUMBER` of VMs (default 3)")
	servers := flag.Int("servers", 0, "`NUMBER` of servers of each service (default 3)")
	callers := flag.Int("callers", 0, "`NUMBER` of callers (default 12)")
	keep := flag.Bool("keep", false, "keep the logs of all seeds")
	flag.Parse()
	o := soak.Options{
		Program: *program, Duration: *duration, NoCuts: *noCuts, Planned: *planned, Repeats: *repeats, OutOfStep: *outOfStep, Desync: *desync,
		Odd: *odd, Streams: *streams, Share: *share, VMs: *vms, Servers: *servers, Callers: *callers,
	}
	keepLogs = *keep
	if err := run(o, *dir, *firstSeed, *seedCount, *concurrency); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(o soak.Options, dir string, firstSeed uint64, seedCount, concurrency int) error {
	var err error
	if o.Program, err = filepath.Abs(o.Program); err != nil {
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
			o := o
			o.Seed = firstSeed + uint64(i)
			o.Dir = filepath.Join(dir, fmt.Sprint(o.Seed))
			ok := runSeed(o)
			if !o.Planned && !o.Repeats && !o.OutOfStep && !o.Streams && !o.Odd {
				o.Planned, o.Dir = true, o.Dir+"-planned"
				ok = runSeed(o) && ok
			}
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
func runSeed(o soak.Options) bool {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	res, err := soak.Run(context.Background(), o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", o.Seed, err)
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
	if keepLogs {
		return true
	}
	if err := os.RemoveAll(o.Dir); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	return true
}
