package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/hibiscuscart/hibiscuscart/bench"
)

var benchCommand = command{
	name: "bench", args: "-list | [-seed N] [-for DURATION] NAME",
	summary: "run a named experiment; the last line of the output is its report as JSON",
	examples: []string{
		"bench -list",
		"bench overhead",
		"bench overhead -seed 7 -for 20s",
		"bench worst_large -plot large.svg",
	},
	run: runBench,
}

func runBench(ctx context.Context, fs *flag.FlagSet, args []string) error {
	opts := bench.Options{Out: os.Stdout}
	list := fs.Bool("list", false, "print the names of the experiments")
	fs.Uint64Var(&opts.Seed, "seed", 1, "`SEED` of the load and the faults")
	fs.DurationVar(&opts.Duration, "for", 0, "`DURATION` of the load; each experiment has its own default")
	fs.StringVar(&opts.PlotPath, "plot", "", "write a plot to this `FILE` (.png, .svg or .pdf); worst_ experiments only")
	// The name may precede or follow the flags.
	name := ""
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		name, args = args[0], args[1:]
	}
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if *list {
		for _, experiment := range bench.List() {
			fmt.Println(experiment.Name)
		}
		return nil
	}
	if name == "" && fs.NArg() == 1 {
		name = fs.Arg(0)
	} else if fs.NArg() > 0 {
		return usageErrorf("unexpected argument %q", fs.Arg(0))
	}
	experiment, err := bench.Find(name)
	if err != nil {
		return usageErrorf("%v; see bench -list", err)
	}
	report, err := experiment.Run(ctx, opts)
	if report != nil {
		encoded, encodeErr := json.Marshal(report)
		if encodeErr != nil {
			return fmt.Errorf("encode report: %w", encodeErr)
		}
		fmt.Println(string(encoded))
	}
	return err
}
