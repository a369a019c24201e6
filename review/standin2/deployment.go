//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment: the store, the servers, the VMs as processes, and what was seen.
type deployment struct {
	program, dir string
	store        *objectStore
	storeAddress string
	record       *os.File
	start        time.Time

	mu      sync.Mutex
	answers map[string]answer
	runs    map[string]int
	ends    map[string]string
	vms     []*vm
}

func newDeployment(program, dir string, record *os.File) *deployment {
	d := &deployment{
		program: program, dir: dir, store: newObjectStore(), record: record, start: time.Now(),
		answers: make(map[string]answer), runs: make(map[string]int), ends: make(map[string]string),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d.storeAddress = l.Addr().String()
	go func() { _ = (&http.Server{Handler: d.store}).Serve(l) }()
	return d
}

// log writes a line to the record.
func (d *deployment) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.start).Seconds()}, args...)...)
}

// expect sets how a server answers the request with an ID.
func (d *deployment) expect(id string, a answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers[id] = a
}

func (d *deployment) answerTo(id string) answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answers[id]
}

func (d *deployment) began(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
}

func (d *deployment) ended(id, how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends[id] = how
}

// runsOf returns how often servers began to run a request, and how the last run ended.
func (d *deployment) runsOf(id string) (int, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id], d.ends[id]
}

// vm is one VM process.
type vm struct {
	d                   *deployment
	name, settings      string
	listen, ready, peer string
	cmd                 *exec.Cmd
	exited              chan struct{}

	mu     sync.Mutex
	misses int
}

// settingsFormat is deploy/node.ini as the platform fills it in for a machine of the sheet.
const settingsFormat = `[vm]
name = %s
failure_domain = %s
listen = %s
ready_listen = %s
peer_listen = %s

[store]
address = %s

[servers]
heartbeat = 1200ms

[limits]
memory_mb = 284
cpu = 0.4
descriptors = 4100

[steering]
handover = 3000ms
load_window = 5s

[retries]
share = 0.2
extra = 58
window = 10s

[quotas]

[drain]
grace = 8s
`

// graceS is the GraceS of the settings.
const graceS = 8 * time.Second

func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (d *deployment) startVM(name, zone string) *vm {
	v := &vm{d: d, name: name, listen: freePort(), ready: freePort(), peer: freePort(), settings: filepath.Join(d.dir, name+".ini")}
	text := fmt.Sprintf(settingsFormat, name, zone, v.listen, v.ready, v.peer, d.storeAddress)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	v.run()
	d.vms = append(d.vms, v)
	go v.poll()
	return v
}

func (v *vm) run() {
	logFile, err := os.OpenFile(filepath.Join(v.d.dir, v.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	c := exec.Command(v.d.program, "node", "-settings", v.settings)
	c.Stdout, c.Stderr = logFile, logFile
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited, v.misses = c, exited, 2
	v.mu.Unlock()
	go func() {
		_ = c.Wait()
		_ = logFile.Close()
		close(exited)
	}()
}

func (v *vm) signal(s syscall.Signal) {
	v.d.log("%s gets %s", v.name, s)
	_ = v.cmd.Process.Signal(s)
}

// poll is the platform's question each second whether the VM is ready. Two misses take it out.
func (v *vm) poll() {
	client := &http.Client{Timeout: time.Second}
	for {
		resp, err := client.Get("http://" + v.ready + "/readyz")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		v.mu.Lock()
		if v.misses++; ok {
			v.misses = 0
		}
		v.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (v *vm) inRotation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.misses < 2
}

func (d *deployment) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range d.vms {
			if v.inRotation() {
				ready++
			}
		}
		if ready == len(d.vms) {
			return nil
		}
	}
	return errors.New("the VMs did not become ready")
}

// stop ends all VM processes.
func (d *deployment) stop() {
	for _, v := range d.vms {
		_ = v.cmd.Process.Kill()
	}
	for _, v := range d.vms {
		<-v.exited
	}
}

// caller is a consumer's connection to a VM.
type caller struct {
	d    *deployment
	vm   *vm
	conn net.Conn
	read *bufio.Reader
}

func (d *deployment) connect(v *vm) (*caller, error) {
	c, err := net.DialTimeout("tcp", v.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{d: d, vm: v, conn: c, read: bufio.NewReader(c)}, nil
}

// outcome is what a consumer saw of a request.
type outcome struct {
	id       string
	vm       string
	sentAt   time.Time
	endedAt  time.Time
	status   int
	stamped  bool
	complete bool
	closes   bool
	events   int
	err      error
}

// ask sends a request and reads its whole answer.
func (c *caller) ask(method, path, id string, header string, budget time.Duration) outcome {
	o := outcome{id: id, vm: c.vm.name, sentAt: time.Now()}
	c.d.log("consumer sends %s to %s", id, c.vm.name)
	_ = c.conn.SetDeadline(o.sentAt.Add(budget + time.Second))
	body := "{}"
	if method == http.MethodGet {
		body = ""
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: api.example\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, headerAttempt, id, headerDeadline, budget.Milliseconds(), header, len(body), body)
	if err == nil {
		err = c.readAnswer(&o)
	}
	o.err, o.endedAt = err, time.Now()
	c.d.log("consumer has of %s from %s: status %d, stamped %v, %d events, complete %v, error %v", id, c.vm.name, o.status, o.stamped, o.events, o.complete, err)
	return o
}

func (c *caller) readAnswer(o *outcome) error {
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	o.status, o.stamped, o.closes = resp.StatusCode, resp.Header.Get(headerStamp) != "", resp.Close
	body, err := io.ReadAll(resp.Body)
	o.events = strings.Count(string(body), "\n\n")
	o.complete = err == nil
	return err
}
