package demo_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
)

// listenOnVMPorts draws the ports of VMs, each of which it listens on at once.
func listenOnVMPorts(vms int) error {
	for i := range vms {
		text, err := demo.VMSettings(i, "127.0.0.1:1")
		if err != nil {
			return err
		}
		settings, err := conf.ParseNode(text)
		if err != nil {
			return fmt.Errorf("parse settings of a VM: %w", err)
		}
		for _, key := range []string{"listen", "ready_listen", "peer_listen"} {
			l, err := net.Listen("tcp", settings.Text("vm", key))
			if err != nil {
				return fmt.Errorf("listen as VM %d: %w", i, err)
			}
			if err := l.Close(); err != nil {
				return fmt.Errorf("close: %w", err)
			}
		}
	}
	return nil
}

// Guards against a process that starts while a port is tried and inherits its socket, so that the VM fails to listen.
func TestVMPortsNotInheritedByNewProcesses(t *testing.T) {
	const concurrency, vms = 8, 15
	ctx, cancel := context.WithCancel(context.Background())
	startErrs, listenErrs := make([]error, concurrency), make([]error, concurrency)
	var starts, draws sync.WaitGroup
	for i := range concurrency {
		starts.Go(func() {
			for ctx.Err() == nil && startErrs[i] == nil {
				startErrs[i] = exec.Command("true").Run()
			}
		})
		draws.Go(func() { listenErrs[i] = listenOnVMPorts(vms) })
	}
	draws.Wait()
	cancel()
	starts.Wait()
	require.NoError(t, errors.Join(startErrs...))
	require.NoError(t, errors.Join(listenErrs...))
}
