package retry

import "time"

// Load pattern: servers break answers off, so that every VM spends all the retries it may, while VMs crash and
// start again, lose each other and are added. Each VM may use an equal allotment of what all VMs may send beyond their
// shares of their own requests. It is spent without telling anyone, so its spender must not begin anew with a full one,
// and nobody may take over that of a VM that is only out of sight.

const (
	// allotmentLifetime is how long a VM uses its allotment without being counted again. The others keep one for a
	// VM that they no longer hear of, but not forever: the VM has to stop first.
	allotmentLifetime = 9 * time.Minute
)

// Allotment is a VM's equal part of what all VMs may spend together in any window. The zero value is none. It is
// not safe for concurrent use.
type Allotment struct {
	vms int
	// since is when this process was first counted, counted when it was last.
	since, counted time.Time
}

// Counted records that this VM is known to be one of a number of VMs that each have one. That number must include
// VMs that are out of sight and may still use theirs.
func (a *Allotment) Counted(now time.Time, vms int) {
	if a.expired(now) {
		a.since = now
	}
	a.vms, a.counted = vms, now
}

// VMs returns the number of VMs among which to divide, or 0 if this VM has no allotment. It has none before a window
// has passed since it was first counted: an earlier process of this VM may have spent it, and the other VMs may have
// divided by fewer.
func (a *Allotment) VMs(now time.Time, window time.Duration) int {
	if a.expired(now) || now.Sub(a.since) < window {
		return 0
	}
	return a.vms
}

func (a *Allotment) expired(now time.Time) bool {
	return a.counted.IsZero() || now.Sub(a.counted) >= allotmentLifetime
}
