// Package clock reads the current time for functions that take it as an argument.
//
// A VM can be suspended for seconds. Go's monotonic clock does not advance during a suspension, so
// a suspended lease holder would treat an expired lease as valid. The wall clock does advance, but
// it can jump. CLOCK_BOOTTIME advances during a suspension and never jumps.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the VM, as a time.Time without a monotonic reading. Only
// differences and comparisons of such times within one process are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it, a VM that was suspended could keep
		// using a lease that another VM has acquired, so the process must not run.
		panic(fmt.Sprintf("clock: read CLOCK_BOOTTIME, the clock that includes suspensions: %v", err))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
