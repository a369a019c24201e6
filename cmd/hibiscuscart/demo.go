package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/sample"
)

var demoCommand = command{
	name: "demo", args: "[-deployment NAME] [-for DURATION] [-rate N] [-seed N] [-store]",
	summary: "run a whole deployment with simulated servers in this process, on loopback",
	examples: []string{
		"demo",
		"demo -for 10s",
		"demo -deployment vidzeme -for 30s -rate 500",
		"demo -store -for 10s",
	},
	run: runDemo,
}

func runDemo(ctx context.Context, fs *flag.FlagSet, args []string) error {
	opts := demo.RunOptions{Out: os.Stdout}
	fs.StringVar(&opts.Deployment, "deployment", "vadodara", "`NAME` of the example deployment")
	fs.DurationVar(&opts.LoadDuration, "for", 0, "send a mixed load for this `DURATION`, print a summary and exit")
	fs.Float64Var(&opts.Rate, "rate", 400, "requests per second of the load")
	fs.Uint64Var(&opts.Seed, "seed", 1, "`SEED` of the load and the simulated servers")
	storeOnly := fs.Bool("store", false, "run only the deployment that keeps all its state in the platform's store; with -for and without this flag, that deployment runs after the example deployment")
	level := fs.String("log", "error", "minimum `LEVEL` of log entries")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := rejectArguments(fs); err != nil {
		return err
	}
	l, err := zerolog.ParseLevel(*level)
	if err != nil {
		return usageErrorf("-log: %v", err)
	}
	if _, err := sample.Settings(opts.Deployment); err != nil {
		return usageErrorf("-deployment: %v", err)
	}
	opts.Log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.TimeOnly}).Level(l).With().Timestamp().Logger()
	violations, err := runDemos(ctx, opts, *storeOnly)
	if err != nil {
		return err
	}
	if violations > 0 {
		return fmt.Errorf("%d guarantee violations", violations)
	}
	return nil
}

// runDemos runs the example deployment, the deployment that uses the platform's
// store, or both, and returns the number of guarantee violations.
func runDemos(ctx context.Context, opts demo.RunOptions, storeOnly bool) (int, error) {
	violations := 0
	if !storeOnly {
		n, err := demo.Run(ctx, opts)
		if err != nil || opts.LoadDuration == 0 {
			return n, err
		}
		violations = n
	}
	n, err := demo.RunSite(ctx, opts)
	return violations + n, err
}
