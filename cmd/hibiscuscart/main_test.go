package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitStatus(t *testing.T) {
	cases := map[string]struct {
		args []string
		want int
	}{
		"no command":             {nil, exitUsage},
		"unknown command":        {[]string{"sevre"}, exitUsage},
		"unknown flag":           {[]string{"demo", "-fro", "1s"}, exitUsage},
		"bad duration":           {[]string{"demo", "-for", "soon"}, exitUsage},
		"unknown deployment":     {[]string{"demo", "-deployment", "atlantis"}, exitUsage},
		"extra argument":         {[]string{"version", "now"}, exitUsage},
		"serve without flags":    {[]string{"serve"}, exitUsage},
		"check without file":     {[]string{"check"}, exitUsage},
		"profile without action": {[]string{"profile"}, exitUsage},
		"unknown profile action": {[]string{"profile", "delete", "-settings", "x"}, exitUsage},
		"unknown standin kind":   {[]string{"standin", "cloud", "-settings", "../../sample/vadodara.ini"}, exitUsage},
		"missing file":           {[]string{"check", "no-such-file"}, exitFailure},
		"invalid settings":       {[]string{"check", "../../conf/testdata/five_violations.ini"}, exitFailure},
		"valid settings":         {[]string{"check", "../../sample/vidzeme.ini"}, 0},
		"help":                   {[]string{"help"}, 0},
		"help on a command":      {[]string{"profile", "-h"}, 0},
		"version":                {[]string{"version"}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, run(context.Background(), c.args))
		})
	}
}

func TestCheckPrintsEveryViolation(t *testing.T) {
	out := filepath.Join(t.TempDir(), "out")
	f, err := os.Create(out)
	require.NoError(t, err)
	stdout := os.Stdout
	os.Stdout = f
	status := run(context.Background(), []string{"check", "../../conf/testdata/five_violations.ini"})
	os.Stdout = stdout
	require.NoError(t, f.Close())
	require.Equal(t, exitFailure, status)
	text, err := os.ReadFile(out)
	require.NoError(t, err)
	lines := 0
	for _, b := range text {
		if b == '\n' {
			lines++
		}
	}
	require.Equal(t, 5, lines, string(text))
}

func TestCommandHelp(t *testing.T) {
	for _, c := range commands {
		require.NotEmpty(t, c.summary, c.name)
		require.NotEmpty(t, c.examples, c.name)
		require.Equal(t, 0, run(context.Background(), []string{c.name, "-h"}), c.name)
	}
}
