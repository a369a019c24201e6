package soak

import (
	"fmt"
	"os"
	"strings"
)

// describedLines is the number of lines of a VM's output in its description.
const describedLines = 20

// hasExited reports whether the process of the VM has exited.
func (v *vm) hasExited() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// describe returns whether the process of the VM runs, and the last lines of its output.
func (v *vm) describe() string {
	state := "process runs"
	if v.hasExited() {
		v.mu.Lock()
		state = "process has exited: " + v.command.ProcessState.String()
		v.mu.Unlock()
	}
	output, err := os.ReadFile(v.logFile.Name())
	if err != nil {
		return fmt.Sprintf("%s; output not read: %v", state, err)
	}
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	return fmt.Sprintf("%s; end of its output:\n%s", state, strings.Join(lines[max(0, len(lines)-describedLines):], "\n"))
}
