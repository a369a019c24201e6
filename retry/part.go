package retry

import "time"

// Load pattern: servers break answers off, so that every VM spends all the retries it may, while VMs crash and
// start again, lose each other and are added. Each VM may use an equal part of what all VMs may send beyond their
// shares of their own requests. A part is spent without telling anyone, so its spender must not begin anew with a
// full one, and nobody may take over the part of a VM that is only out of sight.

const (
	// partLifetime is how long a VM uses its part without being counted again. The others keep a part for a
	// VM that they no longer hear of, but not forever: the VM has to stop first.
	partLifetime = 9 * time.Minute
)

// Part is a VM's equal part of what all VMs may spend together in any window. The zero value is no part. It is
// not safe for concurrent use.
type Part struct {
	vms int
	// since is when this process was first counted, counted when it was last.
	since, counted time.Time
}

// Counted records that this VM is known to be one of a number of VMs that each have a part. That number must include
// VMs that are out of sight and may still use theirs.
func (p *Part) Counted(now time.Time, vms int) {
	if p.expired(now) {
		p.since = now
	}
	p.vms, p.counted = vms, now
}

// VMs returns the number of VMs among which to divide, or 0 if this VM has no part. It has none before a window has
// passed since it was first counted: an earlier process of this VM may have spent the part, and the other VMs may
// have divided by fewer.
func (p *Part) VMs(now time.Time, window time.Duration) int {
	if p.expired(now) || now.Sub(p.since) < window {
		return 0
	}
	return p.vms
}

func (p *Part) expired(now time.Time) bool {
	return p.counted.IsZero() || now.Sub(p.counted) >= partLifetime
}
