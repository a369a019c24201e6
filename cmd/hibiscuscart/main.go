// Command hibiscuscart serves many models on few accelerators. It has the daemon
// of an entry VM, the operators' commands, and tools for demos and experiments.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// command is a subcommand.
type command struct {
	name     string
	args     string
	summary  string
	examples []string
	// run registers the flags on fs, parses args and executes the command.
	run func(ctx context.Context, fs *flag.FlagSet, args []string) error
}

// usageError is an error in the command line arguments.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// commands lists the subcommands in the order of the help text.
var commands = []command{
	serveCommand, nodeCommand, profileCommand, checkCommand, fleetCommand,
	standinCommand, demoCommand, loadCommand, benchCommand, explainCommand, versionCommand,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:])
	stop()
	os.Exit(status)
}

func run(ctx context.Context, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		printHelp(os.Stderr)
		if len(args) == 0 {
			return exitUsage
		}
		return 0
	}
	for _, c := range commands {
		if c.name == args[0] {
			return runCommand(ctx, c, args[1:])
		}
	}
	fmt.Fprintf(os.Stderr, "hibiscuscart: unknown command %q; see hibiscuscart help\n", args[0])
	return exitUsage
}

func runCommand(ctx context.Context, c command, args []string) int {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	err := c.run(ctx, fs, args)
	var usage *usageError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		printUsage(os.Stderr, c, fs)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintf(os.Stderr, "hibiscuscart %s: %s; see hibiscuscart %s -h\n", c.name, usage.message, c.name)
		return exitUsage
	}
	fmt.Fprintf(os.Stderr, "hibiscuscart %s: %v\n", c.name, err)
	return exitFailure
}

// parseFlags parses the flags and returns parse errors as usage errors.
func parseFlags(fs *flag.FlagSet, args []string) error {
	err := fs.Parse(args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &usageError{err.Error()}
}

// rejectArguments returns a usage error if arguments follow the flags.
func rejectArguments(fs *flag.FlagSet) error {
	if fs.NArg() > 0 {
		return usageErrorf("unexpected argument %q", fs.Arg(0))
	}
	return nil
}

func printHelp(out io.Writer) {
	fmt.Fprintln(out, "usage: hibiscuscart COMMAND [FLAGS] [ARGUMENTS]")
	fmt.Fprintln(out)
	for _, c := range commands {
		fmt.Fprintf(out, "  %-9s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(out, "\nRun hibiscuscart COMMAND -h for help on a command.")
}

func printUsage(out io.Writer, c command, fs *flag.FlagSet) {
	fmt.Fprintln(out, strings.TrimSpace(fmt.Sprintf("usage: hibiscuscart %s %s", c.name, c.args)))
	fmt.Fprintf(out, "\n%s\n\n", c.summary)
	fs.SetOutput(out)
	fs.PrintDefaults()
	fmt.Fprintln(out, "\nexamples:")
	for _, e := range c.examples {
		fmt.Fprintln(out, "  hibiscuscart", e)
	}
}
