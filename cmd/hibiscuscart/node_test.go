package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// settingsPipeVariable names the pipe from which the process of a test reads its settings.
const settingsPipeVariable = "HIBISCUSCART_TEST_SETTINGS"

// Guards against a VM that is ended by the news of changed settings while it starts.
func TestReloadSignalWhileSettingsAreRead(t *testing.T) {
	if pipe := os.Getenv(settingsPipeVariable); pipe != "" {
		os.Exit(run(context.Background(), []string{"node", "-settings", pipe}))
	}
	pipe := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), settingsPipeVariable+"="+pipe)
	require.NoError(t, cmd.Start())
	// The open returns when the process opens the pipe, and the process reads until it is closed.
	f, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.NoError(t, f.Close())
	_ = cmd.Wait()
	require.Equal(t, exitFailure, cmd.ProcessState.ExitCode(), cmd.ProcessState.String())
}
