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
	summary: "send open-loop load to entry VMs and check every answer against the stand-ins",
	examples: []string{
		"load -settings sample/vadodara.ini -profiles sample/vadodara -for 30s -rate 300",
		"load -settings sample/vadodara.ini -profiles sample/vadodara -targets 127.0.0.1:8000 -burst 5 -json",
	},
	run: runLoad,
}

// loadFlags are the flags of the load command.
type loadFlags struct {
	settings, profiles, targets string
	length                      time.Duration
	rate, burst                 float64
	seed                        uint64
	asJSON                      bool
}

func runLoad(ctx context.Context, fs *flag.FlagSet, args []string) error {
	var f loadFlags
	fs.StringVar(&f.settings, "settings", "", "settings `FILE`")
	fs.StringVar(&f.profiles, "profiles", "", "`DIRECTORY` of the profile documents in force")
	fs.StringVar(&f.targets, "targets", "", "`ADDRESSES` to send to, separated by commas; by default all VMs of the settings")
	fs.DurationVar(&f.length, "for", 10*time.Second, "`DURATION` of the load")
	fs.Float64Var(&f.rate, "rate", 100, "requests a second")
	fs.Float64Var(&f.burst, "burst", 1, "factor of the rate in the middle third of the load")
	fs.Uint64Var(&f.seed, "seed", uint64(time.Now().UnixNano()), "`SEED` of the load; two loads of one seed repeat each other's keys")
	fs.BoolVar(&f.asJSON, "json", false, "print the summary as JSON")
	if err := parse(fs, args); err != nil {
		return err
	}
	if err := noArguments(fs); err != nil {
		return err
	}
	if f.settings == "" || f.profiles == "" {
		return misuse("-settings and -profiles must be given")
	}
	settings, err := conf.Load(f.settings)
	if err != nil {
		return err
	}
	docs, err := readProfiles(f.profiles)
	if err != nil {
		return err
	}
	return f.send(ctx, settings, docs)
}

func readProfiles(directory string) ([]wire.Profile, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("find profiles: %w", err)
	}
	var docs []wire.Profile
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read profile: %w", err)
		}
		doc, err := profs.Parse(data)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		docs = append(docs, doc)
	}
	if len(docs) == 0 {
		return nil, fmt.Errorf("there is no profile document in %s", directory)
	}
	return docs, nil
}

func (f loadFlags) send(ctx context.Context, settings *conf.Settings, docs []wire.Profile) error {
	targets := strings.Split(f.targets, ",")
	if f.targets == "" {
		targets = nil
		for _, vm := range settings.VMs() {
			targets = append(targets, vm.Listen())
		}
	}
	classes := demo.MixedLoad(settings, docs, f.rate)
	for i := range classes {
		classes[i].Burst, classes[i].BurstFrom, classes[i].BurstTo = f.burst, f.length/3, 2*f.length/3
	}
	runner := &load.Runner{
		Classes: classes, Targets: func() []string { return targets },
		Progress: func(done time.Duration, sent, answered int) {
			fmt.Fprintf(os.Stderr, "%3.0fs sent %d answered %d\n", done.Seconds(), sent, answered)
		},
	}
	results := runner.Run(ctx, load.Schedule(f.seed, f.length, classes))
	summary := load.Summarise(classes, results, standinRuns(settings))
	if f.asJSON {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	if err := summary.WriteTable(os.Stdout); err != nil {
		return err
	}
	if n := summary.Promises.Broken(); n > 0 {
		return fmt.Errorf("%d promises were broken", n)
	}
	return nil
}

// standinRuns asks the stand-ins how often each request ran.
func standinRuns(settings *conf.Settings) map[string]int {
	all := make(map[string]int)
	for _, pool := range settings.Pools() {
		// The stand-ins of one process share their counts, so that the highest
		// is the whole; those of several processes would have to be added up.
		for _, server := range pool.Servers(settings.FailureDomains()) {
			for id, n := range runsOf(server.Address) {
				all[id] = max(all[id], n)
			}
		}
	}
	return all
}

func runsOf(address string) map[string]int {
	resp, err := http.Get("http://" + address + "/control/runs")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var runs map[string]int
	if json.NewDecoder(resp.Body).Decode(&runs) != nil {
		return nil
	}
	return runs
}
