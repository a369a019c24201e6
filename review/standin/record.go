//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	exitHeld        = 0
	exitBroken      = 1
	exitCouldNotRun = 2
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		couldNotRun("create record: %v", err)
	}
	return &record{begun: time.Now(), file: f, w: bufio.NewWriter(f)}
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

func couldNotRun(format string, args ...any) {
	endAll()
	fmt.Printf("could not run: "+format+"\n", args...)
	os.Exit(exitCouldNotRun)
}
