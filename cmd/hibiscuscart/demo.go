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
	summary: "run a whole deployment with stand-ins in this process, on loopback",
	examples: []string{
		"demo",
		"demo -for 10s",
		"demo -deployment vidzeme -for 30s -rate 500",
		"demo -store -for 10s",
	},
	run: runDemo,
}

func runDemo(ctx context.Context, fs *flag.FlagSet, args []string) error {
	o := demo.RunOptions{Out: os.Stdout}
	fs.StringVar(&o.Deployment, "deployment", "vadodara", "example deployment `NAME`")
	fs.DurationVar(&o.LoadDuration, "for", 0, "send a mixed load for this `DURATION`, print a summary and exit")
	fs.Float64Var(&o.Rate, "rate", 400, "requests a second of the load")
	fs.Uint64Var(&o.Seed, "seed", 1, "`SEED` of the load and of the stand-ins")
	inStore := fs.Bool("store", false, "run the deployment that keeps everything in the platform's store; with -for it runs after the other in any case")
	level := fs.String("log", "error", "least `LEVEL` that is logged")
	if err := parse(fs, args); err != nil {
		return err
	}
	if err := noArguments(fs); err != nil {
		return err
	}
	l, err := zerolog.ParseLevel(*level)
	if err != nil {
		return misuse("-log: %v", err)
	}
	if _, err := sample.Settings(o.Deployment); err != nil {
		return misuse("-deployment: %v", err)
	}
	o.Log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.TimeOnly}).Level(l).With().Timestamp().Logger()
	broken, err := runDemos(ctx, o, *inStore)
	if err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d promises were broken", broken)
	}
	return nil
}

// runDemos runs the example deployment, the one of the platform's store, or
// both.
func runDemos(ctx context.Context, o demo.RunOptions, inStore bool) (int, error) {
	broken := 0
	if !inStore {
		n, err := demo.Run(ctx, o)
		if err != nil || o.LoadDuration == 0 {
			return n, err
		}
		broken = n
	}
	n, err := demo.RunSite(ctx, o)
	return broken + n, err
}
