package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/hibiscuscart/hibiscuscart/trail"
)

var explainCommand = command{
	name: "explain", args: "[-request ID | -spread | -model NAME] [-plot FILE] [FILE...]",
	summary: "report from log lines which requests were lost or late, and why, or how long changes took to reach all VMs",
	examples: []string{
		"explain vm-1.log vm-2.log",
		"explain -request 8c5b5c03c01a3c3e *.log",
		"explain -plot day.svg < all.log",
		"explain -spread vm-*.log",
	},
	run: runExplain,
}

func runExplain(_ context.Context, fs *flag.FlagSet, args []string) error {
	requestID := fs.String("request", "", "trace the request with this `ID`")
	spread := fs.Bool("spread", false, "print when configurations, lost servers and lease holders were known to half, 99% and all VMs")
	var opts trail.Options
	fs.StringVar(&opts.Model, "model", "", "include only requests for this model")
	fs.IntVar(&opts.Top, "top", 0, "maximum rows in the tables of causes, models and servers (default 10)")
	fs.DurationVar(&opts.Window, "window", 0, "time span of each row in the timeline table (default 2s)")
	fs.DurationVar(&opts.RetryWindow, "retry-window", 0, "window in which repeats are counted, as in [retries] window (default 10s)")
	plotFile := fs.String("plot", "", "also write a plot to this `FILE`, .svg or .png")
	if err := fs.Parse(args); err != nil {
		return err
	}
	format, err := plotFormat(*plotFile)
	switch {
	case err != nil:
		return err
	case opts.Top < 0:
		return usageErrorf("-top must not be negative")
	case opts.Window < 0 || opts.Window > 0 && opts.Window < time.Millisecond:
		return usageErrorf("-window must be at least 1ms")
	case opts.RetryWindow < 0:
		return usageErrorf("-retry-window must not be negative")
	case *requestID != "" && (opts.Model != "" || *plotFile != ""):
		return usageErrorf("-request cannot be combined with -model or -plot")
	case *spread && (*requestID != "" || opts.Model != "" || *plotFile != ""):
		return usageErrorf("-spread cannot be combined with -request, -model or -plot")
	}
	log := &trail.Log{RequestID: *requestID}
	if err := readLogs(log, fs.Args()); err != nil {
		return err
	}
	if *requestID != "" {
		return log.WriteTimeline(os.Stdout)
	}
	if *spread {
		return log.WriteSpread(os.Stdout)
	}
	if err := log.Report(os.Stdout, opts); err != nil {
		return err
	}
	if *plotFile == "" {
		return nil
	}
	return writePlot(log, *plotFile, format, opts)
}

func plotFormat(path string) (trail.Format, error) {
	switch filepath.Ext(path) {
	case ".png":
		return trail.PNG, nil
	case ".svg", "":
		if path == "" || filepath.Ext(path) == ".svg" {
			return trail.SVG, nil
		}
	}
	return trail.SVG, usageErrorf("-plot %s: the name must end with .svg or .png", path)
}

// readLogs reads the files, or standard input if there are none.
func readLogs(log *trail.Log, paths []string) error {
	if len(paths) == 0 {
		return log.Read("standard input", os.Stdin)
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		err = log.Read(path, f)
		if err := errors.Join(err, f.Close()); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(log *trail.Log, path string, format trail.Format, opts trail.Options) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create plot: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return log.Plot(io.Writer(f), format, opts)
}
