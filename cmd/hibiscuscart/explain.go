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
	name: "explain", args: "[-request ID | -model NAME] [-plot FILE] [FILE...]",
	summary: "tell from log lines which requests were lost or late, and why",
	examples: []string{
		"explain vm-1.log vm-2.log",
		"explain -request 8c5b5c03c01a3c3e *.log",
		"explain -plot day.svg < all.log",
	},
	run: runExplain,
}

func runExplain(_ context.Context, fs *flag.FlagSet, args []string) error {
	request := fs.String("request", "", "show the way of the request with this `ID`")
	var o trail.Options
	fs.StringVar(&o.Model, "model", "", "only requests for this model")
	fs.IntVar(&o.Top, "top", 0, "rows of the tables of causes, models and servers (default 10)")
	fs.DurationVar(&o.Window, "window", 0, "length of a row of the table by time (default 2s)")
	picture := fs.String("plot", "", "also draw a picture to this `FILE`, .svg or .png")
	if err := fs.Parse(args); err != nil {
		return err
	}
	format, err := pictureFormat(*picture)
	switch {
	case err != nil:
		return err
	case o.Top < 0:
		return misuse("-top must not be negative")
	case o.Window < 0 || o.Window > 0 && o.Window < time.Millisecond:
		return misuse("-window must be a millisecond or more")
	case *request != "" && (o.Model != "" || *picture != ""):
		return misuse("-request goes with neither -model nor -plot")
	}
	log := &trail.Log{RequestID: *request}
	if err := readLogs(log, fs.Args()); err != nil {
		return err
	}
	if *request != "" {
		return log.WriteTimeline(os.Stdout)
	}
	if err := log.Report(os.Stdout, o); err != nil {
		return err
	}
	if *picture == "" {
		return nil
	}
	return drawPicture(log, *picture, format, o)
}

func pictureFormat(path string) (trail.Format, error) {
	switch filepath.Ext(path) {
	case ".png":
		return trail.PNG, nil
	case ".svg", "":
		if path == "" || filepath.Ext(path) == ".svg" {
			return trail.SVG, nil
		}
	}
	return trail.SVG, misuse("-plot %s: the name must end with .svg or .png", path)
}

// readLogs reads files, standard input where there are none.
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

func drawPicture(log *trail.Log, path string, format trail.Format, o trail.Options) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create picture: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return log.Plot(io.Writer(f), format, o)
}
