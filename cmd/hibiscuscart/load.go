package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/load"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

var loadCommand = command{
	name: "load", args: "-settings FILE -profiles DIRECTORY [-targets ADDRESS,...] [FLAGS]",
	summary: "send open-loop load to entry VMs and check every answer against the simulated servers",
	examples: []string{
		"load -settings sample/vadodara.ini -profiles sample/vadodara -for 30s -rate 300",
		"load -settings sample/vadodara.ini -profiles sample/vadodara -targets 127.0.0.1:8000 -burst 5 -json",
	},
	run: runLoad,
}

// loadFlags are the flags of the load command.
type loadFlags struct {
	settings, profiles, targets string
	duration                    time.Duration
	rate, burst                 float64
	seed                        uint64
	jsonOutput                  bool
}

func runLoad(ctx context.Context, fs *flag.FlagSet, args []string) error {
	var f loadFlags
	fs.StringVar(&f.settings, "settings", "", "settings `FILE`")
	fs.StringVar(&f.profiles, "profiles", "", "`DIRECTORY` of the active profile documents")
	fs.StringVar(&f.targets, "targets", "", "comma-separated `ADDRESSES` of the target VMs; by default all VMs in the settings")
	fs.DurationVar(&f.duration, "for", 10*time.Second, "`DURATION` of the load")
	fs.Float64Var(&f.rate, "rate", 100, "requests per second")
	fs.Float64Var(&f.burst, "burst", 1, "factor applied to the rate in the middle third of the load")
	fs.Uint64Var(&f.seed, "seed", uint64(time.Now().UnixNano()), "`SEED` of the load; loads with the same seed send the same idempotency keys")
	fs.BoolVar(&f.jsonOutput, "json", false, "print the summary as JSON")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := rejectArguments(fs); err != nil {
		return err
	}
	if f.settings == "" || f.profiles == "" {
		return usageErrorf("-settings and -profiles are required")
	}
	settings, err := conf.Load(f.settings)
	if err != nil {
		return err
	}
	profiles, err := readProfiles(f.profiles)
	if err != nil {
		return err
	}
	return f.sendLoad(ctx, settings, profiles)
}

func readProfiles(directory string) ([]wire.Profile, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("find profiles: %w", err)
	}
	var profiles []wire.Profile
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read profile: %w", err)
		}
		doc, err := profs.Parse(data)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		profiles = append(profiles, doc)
	}
	if len(profiles) == 0 {
		return nil, fmt.Errorf("no profile documents found in %s", directory)
	}
	return profiles, nil
}

func (f loadFlags) sendLoad(ctx context.Context, settings *conf.Settings, profiles []wire.Profile) error {
	targets := strings.Split(f.targets, ",")
	if f.targets == "" {
		targets = nil
		for _, vm := range settings.VMs() {
			targets = append(targets, vm.Listen())
		}
	}
	classes := demo.MixedLoad(settings, profiles, f.rate)
	for i := range classes {
		classes[i].BurstFactor, classes[i].BurstStart, classes[i].BurstEnd = f.burst, f.duration/3, 2*f.duration/3
	}
	runner := &load.Runner{
		Classes: classes, Targets: func() []string { return targets },
		Progress: func(elapsed time.Duration, sent, completed int) {
			fmt.Fprintf(os.Stderr, "%3.0fs sent %d answered %d\n", elapsed.Seconds(), sent, completed)
		},
	}
	results := runner.Run(ctx, load.Schedule(f.seed, f.duration, classes))
	summary := load.Summarize(classes, results, fetchRunCounts(settings))
	if f.jsonOutput {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	if err := summary.WriteTable(os.Stdout); err != nil {
		return err
	}
	if violations := summary.Violations.TotalViolations(); violations > 0 {
		return fmt.Errorf("%d guarantee violations", violations)
	}
	return nil
}

// fetchRunCounts returns how often each request ran, as counted by the server
// stand-ins.
func fetchRunCounts(settings *conf.Settings) map[string]int {
	counts := make(map[string]int)
	for _, pool := range settings.Pools() {
		// The stand-ins of one process share their counts, so the highest
		// count is the total. The counts of several processes would have to be added.
		for _, server := range pool.Servers(settings.FailureDomains()) {
			for id, n := range fetchServerRunCounts(server.Address) {
				counts[id] = max(counts[id], n)
			}
		}
	}
	return counts
}

func fetchServerRunCounts(address string) map[string]int {
	resp, err := http.Get("http://" + address + "/control/runs")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var counts map[string]int
	if json.NewDecoder(resp.Body).Decode(&counts) != nil {
		return nil
	}
	return counts
}
