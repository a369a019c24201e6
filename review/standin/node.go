//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// node is one process of the program, run with the command of the deploy file.
type node struct {
	name, folder                        string
	listen, ready, peer, metrics, store string
	zone                                string
	memoryMB                            int
	cpu                                 float64
	cmd                                 *exec.Cmd
	log                                 *os.File
	exited                              chan struct{}
}

// newNode returns a node that has not started, with free ports of the loopback interface.
func newNode(folder, name, zone, store string) *node {
	ports := freeAddresses(4)
	return &node{
		name: name, folder: folder, zone: zone, store: store, listen: ports[0], ready: ports[1], peer: ports[2], metrics: ports[3],
		memoryMB: 284, cpu: 0.4,
	}
}

// settings is the text that the platform makes of deploy/node.ini, with the bounds of the small sites.
func (n *node) settings() string {
	return fmt.Sprintf(`[vm]
name = %s
failure_domain = %s
listen = %s
ready_listen = %s
peer_listen = %s
metrics_listen = %s

[store]
address = %s

[servers]
heartbeat = 1200ms

[limits]
memory_mb = %d
cpu = %g

[steering]
handover = 3000ms
load_window = 5s

[retries]
share = 0.2
extra = 54
window = 10s

[quotas]

[drain]
grace = 8s
`, n.name, n.zone, n.listen, n.ready, n.peer, n.metrics, n.store, n.memoryMB, n.cpu)
}

// start starts the process. endAll ends it.
func (n *node) start() error {
	file := filepath.Join(n.folder, n.name+".ini")
	if err := os.WriteFile(file, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/hibiscuscart", "node", "-settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.log, n.exited = cmd, log, exited
	started = append(started, n)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// started lists the nodes that were started, for endAll.
var started []*node

// endAll ends all processes that were started.
func endAll() {
	for _, n := range started {
		n.kill()
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// firstPort is below the ports that the kernel gives to outgoing connections.
const firstPort = 20001

// freeAddresses returns free addresses of one machine: an IP address of the loopback network for itself, and ports.
func freeAddresses(n int) []string {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		addresses := make([]string, 0, n)
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPort+i))
			if err != nil {
				break
			}
			addresses = append(addresses, l.Addr().String())
			_ = l.Close()
		}
		if len(addresses) == n {
			return addresses
		}
	}
	couldNotRun("no free addresses")
	return nil
}

func mustListen() net.Listener {
	l, err := net.Listen("tcp", freeAddresses(1)[0])
	if err != nil {
		couldNotRun("listen: %v", err)
	}
	return l
}
