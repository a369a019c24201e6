package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/guard"
	"github.com/hibiscuscart/hibiscuscart/spans"
)

var serveCommand = command{
	name: "serve", args: "-settings FILE -vm NAME",
	summary:  "run the daemon of an entry VM until SIGTERM, then shut down gracefully",
	examples: []string{"serve -settings sample/vadodara.ini -vm alkapuri-1"},
	run:      runServe,
}

func runServe(ctx context.Context, fs *flag.FlagSet, args []string) error {
	settingsFile := fs.String("settings", "", "settings `FILE`")
	vmName := fs.String("vm", "", "`NAME` of this VM in the settings")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if *settingsFile == "" || *vmName == "" {
		return usageErrorf("-settings and -vm are required")
	}
	if err := rejectArguments(fs); err != nil {
		return err
	}
	settings, err := conf.Load(*settingsFile)
	if err != nil {
		return err
	}
	vm, err := settings.VM(*vmName)
	if err != nil {
		return err
	}
	return serveVM(ctx, settings, vm)
}

func serveVM(ctx context.Context, settings *conf.Settings, vm conf.VM) error {
	limitMemory(settings)
	log := newLogger(settings)
	flush, err := setUpTraces(ctx, settings, vm.Name())
	if err != nil {
		return err
	}
	config, err := entry.ConfigFrom(settings, vm, log)
	if err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	daemon := entry.New(config)
	// The daemon's background jobs continue after the signal, while requests drain.
	if err := daemon.Start(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), config.DrainTimeout)
	defer cancel()
	if err := daemon.Stop(ctx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return flush(ctx)
}

// setUpTraces installs the tracer configured in the settings and returns the
// function that flushes the remaining spans.
func setUpTraces(ctx context.Context, settings *conf.Settings, vm string) (func(context.Context) error, error) {
	flush, err := spans.Setup(ctx, spans.Config{
		Exporter: settings.Text("traces", "exporter"), Endpoint: settings.Text("traces", "endpoint"),
		SampleRatio: settings.Float("traces", "sample"), VMName: vm, Output: os.Stderr,
	})
	if err != nil {
		return nil, fmt.Errorf("set up traces: %w", err)
	}
	return flush, nil
}

// newLogger returns the logger configured in the settings. It writes to standard
// error.
func newLogger(s *conf.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Text("log", "level"))
	if err != nil {
		level = zerolog.InfoLevel
	}
	var out io.Writer = os.Stderr
	if s.Text("log", "format") == "console" {
		out = zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.TimeOnly}
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}

// limitMemory limits the heap of the process if the settings limit its memory.
func limitMemory(s *conf.Settings) {
	if mb := s.Int("limits", "memory_mb"); mb > 0 {
		debug.SetMemoryLimit(guard.HeapLimit(guard.MachineMemory(mb)))
	}
}
