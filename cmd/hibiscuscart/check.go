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
	summary:  "check a settings file and name every fault in it",
	examples: []string{"check sample/vidzeme.ini"},
	run:      check,
}

func check(_ context.Context, fs *flag.FlagSet, args []string) error {
	if err := parse(fs, args); err != nil {
		return err
	}
	if fs.NArg() != 1 {
		return misuse("one settings file must be named")
	}
	_, err := conf.Load(fs.Arg(0))
	var faults *conf.ValidationError
	if errors.As(err, &faults) {
		for _, f := range faults.Violations {
			fmt.Println(f)
		}
		return fmt.Errorf("%s: %d faults", fs.Arg(0), len(faults.Violations))
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, fs.Arg(0)+": ok")
	return nil
}
