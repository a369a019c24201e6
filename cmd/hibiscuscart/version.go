package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"
)

var versionCommand = command{
	name:     "version",
	summary:  "print the version of this build",
	examples: []string{"version"},
	run: func(_ context.Context, fs *flag.FlagSet, args []string) error {
		if err := parseFlags(fs, args); err != nil {
			return err
		}
		if err := rejectArguments(fs); err != nil {
			return err
		}
		fmt.Println("hibiscuscart", buildVersion(), runtime.Version())
		return nil
	},
}

// buildVersion returns the module's version, with the commit if the build
// information contains it.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}
