package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/hibiscuscart/hibiscuscart/conf"
)

var checkCommand = command{
	name: "check", args: "FILE",
	summary:  "validate a settings file and print every violation",
	examples: []string{"check sample/vidzeme.ini"},
	run:      runCheck,
}

func runCheck(_ context.Context, fs *flag.FlagSet, args []string) error {
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if fs.NArg() != 1 {
		return usageErrorf("exactly one settings file is required")
	}
	_, err := conf.Load(fs.Arg(0))
	var invalid *conf.ValidationError
	if errors.As(err, &invalid) {
		for _, violation := range invalid.Violations {
			fmt.Println(violation)
		}
		return fmt.Errorf("%s: %d violations", fs.Arg(0), len(invalid.Violations))
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, fs.Arg(0)+": ok")
	return nil
}
