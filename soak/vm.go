package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
)

// vm is one VM process with the proxy between it and the store.
type vm struct {
	settingsPath, listenAddress, peerAddress string
	// source is the IP address from which the VM connects to the servers.
	source     string
	storeProxy *Proxy
	logFile    *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// reserved is set while the process is being restarted.
	reserved bool
}

// reserve reserves the process for a restart. It reports false if it was already reserved.
func (v *vm) reserve() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	free := !v.reserved
	v.reserved = true
	return free
}

func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reserved = false
}

// addVM adds a VM whose process has not been started.
func (r *run) addVM(i int) error {
	store, err := NewProxy(r.site.StoreAddress())
	if err != nil {
		return fmt.Errorf("start proxy for the store: %w", err)
	}
	v := &vm{storeProxy: store, settingsPath: filepath.Join(r.options.Dir, fmt.Sprintf("vm-%d.ini", i))}
	r.vms = append(r.vms, v)
	text, err := demo.VMSettings(i, store.Address())
	if err != nil {
		return err
	}
	if !r.options.NoCuts {
		v.source = fmt.Sprintf("127.0.0.%d", firstSource+i)
		text = fmt.Appendf(text, "[servers]\nsource = %s\n", v.source)
	}
	if err := os.WriteFile(v.settingsPath, text, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if v.listenAddress, err = demo.ListenAddress(text); err != nil {
		return err
	}
	if v.peerAddress, err = demo.PeerAddress(text); err != nil {
		return err
	}
	if v.logFile, err = os.Create(filepath.Join(r.options.Dir, fmt.Sprintf("vm-%d.log", i))); err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	return nil
}

// start starts the VM process.
func (v *vm) start(program string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := exec.Command(program, "node", "-settings", v.settingsPath)
	c.Stdout, c.Stderr = v.logFile, v.logFile
	if err := c.Start(); err != nil {
		return fmt.Errorf("start VM: %w", err)
	}
	v.command, v.exited = c, make(chan struct{})
	go func(ended chan struct{}) {
		// The exit status is kept in c: the code that ends the process checks that it exits in time.
		_ = c.Wait()
		close(ended)
	}(v.exited)
	return nil
}

// signal sends a signal to the process that this run started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// The error is ignored: the process may have exited already.
	_ = v.command.Process.Signal(s)
}

// waitExit waits for a process that was signaled to exit, and reports whether it exited within
// exitTimeout. Otherwise the process logs its goroutines on SIGQUIT and is then killed.
func (v *vm) waitExit() bool {
	if v.waitFor(exitTimeout) {
		return true
	}
	v.signal(syscall.SIGQUIT)
	if !v.waitFor(stackDumpTimeout) {
		v.signal(syscall.SIGKILL)
		v.waitFor(exitTimeout)
	}
	return false
}

func (v *vm) waitFor(limit time.Duration) bool {
	v.mu.Lock()
	ended := v.exited
	v.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// serves reports whether the VM accepts connections from callers.
func (v *vm) serves() bool {
	conn, err := net.DialTimeout("tcp", v.listenAddress, callTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
