// Package crowd tests real processes against many clients at once that keep to no limit, or each to its own limits but not
// together.
package crowd_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
)

// machineMemoryMB is the memory of the machine that the tests give a process.
const machineMemoryMB = 64

// Descriptors of such a machine: those of a deployment, and as few as a small crowd can take.
const (
	usualDescriptors = 4100
	fewDescriptors   = 256
)

// ownShare is the share of the descriptors that a crowd leaves to the process: for its files, and for what it opens itself.
const ownShare = 0.25

// startTimeout bounds the start of processes, and stopTimeout their end.
const (
	startTimeout = time.Minute
	stopTimeout  = 20 * time.Second
)

// program is the path of the program, built once for all tests.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create folder:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "hibiscuscart")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/hibiscuscart").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running program.
type process struct {
	name           string
	pid            int
	log            string
	maxDescriptors int
	exited         chan struct{}
}

// startProcess starts the program with a limit on its descriptors, and stops it when the test ends.
func startProcess(t *testing.T, maxDescriptors int, arguments ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors), program}, arguments...)
	c := exec.Command("sh", limited...)
	c.Stdout, c.Stderr = log, log
	require.NoError(t, c.Start())
	p := &process{name: strings.Join(arguments[:2], " "), pid: c.Process.Pid, log: log.Name(), maxDescriptors: maxDescriptors, exited: make(chan struct{})}
	go func() {
		// How it ends is told by the log.
		_ = c.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.stop(c)
		_ = log.Close()
	})
	return p
}

// stop asks the process to stop, and kills it if it does not.
func (p *process) stop(c *exec.Cmd) {
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = c.Process.Kill()
		<-p.exited
	}
}

// requireInBounds fails the test unless the process runs within its machine's memory, with descriptors left for itself. What
// the kernel keeps of connections to an address that has not been read counts as memory.
func (p *process) requireInBounds(t *testing.T, address string) {
	t.Helper()
	select {
	case <-p.exited:
		require.Fail(t, p.name+" has ended", p.tail())
	default:
	}
	peak, unread, descriptors := p.peakMB(t), unreadMB(t, address), p.descriptors(t)
	t.Logf("%s: peak %d MB, %d MB not read, %d descriptors", p.name, peak, unread, descriptors)
	require.LessOrEqual(t, peak+unread, machineMemoryMB, "peak of the resident memory, and what was not read, in MB")
	require.LessOrEqual(t, float64(descriptors), (1-ownShare)*float64(p.maxDescriptors), "open descriptors")
}

// peakMB returns the peak of the resident memory.
func (p *process) peakMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			require.NoError(t, err)
			return kb / 1024
		}
	}
	require.Fail(t, "no peak in the status of the process")
	return 0
}

// unreadMB returns how much the kernel keeps of connections to an IPv4 address that has not been read.
func unreadMB(t *testing.T, address string) int {
	t.Helper()
	at := netip.MustParseAddrPort(address)
	ip := at.Addr().As4()
	// The kernel prints the address as a number in the byte order of the machine.
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), at.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	unread := uint64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseUint(queue, 16, 64)
		require.NoError(t, err)
		unread += n
	}
	return int(unread >> 20)
}

// listening is the state of a listener in the table of the kernel, whose queue is one of connections.
const listening = "0A"

func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	require.NoError(t, err)
	return len(entries)
}

// tail returns the end of the log.
func (p *process) tail() string {
	const length = 2000
	text, _ := os.ReadFile(p.log)
	return string(text[max(0, len(text)-length):])
}

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for i := 0; len(addresses) < n; i++ {
		text, err := demo.VMSettings(i, "127.0.0.1:1")
		require.NoError(t, err)
		settings, err := conf.ParseNode(text)
		require.NoError(t, err)
		for _, key := range []string{"listen", "ready_listen", "peer_listen"} {
			addresses = append(addresses, settings.Text("vm", key))
		}
	}
	return addresses[:n]
}

// awaitAnswer waits until a request is answered with success.
func awaitAnswer(t *testing.T, p *process, request func(context.Context) (int, error)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		status, err := request(ctx)
		if err == nil && status < 300 {
			return
		}
		select {
		case <-ctx.Done():
			require.Fail(t, "no answer from the started process", "last: %d %v\n%s", status, err, p.tail())
		case <-p.exited:
			require.Fail(t, "the process has ended", p.tail())
		case <-time.After(50 * time.Millisecond):
		}
	}
}
