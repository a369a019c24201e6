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
	// tellTime is how long it may take until all VMs in sight know a number: VMs and relays are told each second.
	tellTime = 2 * time.Second
)

// Allotment is a VM's equal part of what all VMs may spend together in any window. The zero value is none. It is
// not safe for concurrent use.
type Allotment struct {
	// told is the number of VMs told last, vms the one in force, which is not below it.
	told, vms int
	// since is when this process was first counted, counted when it was last.
	since, counted time.Time
	// next is the largest number told since nextSince, from when on all were below the one in force; 0 for none.
	next      int
	nextSince time.Time
	// before is the number that was in force until fellAt, when the part fell; 0 for none.
	before int
	fellAt time.Time
}

// Counted records that this VM is known to be one of a number of VMs that each have one. That number must include
// VMs that are out of sight and may still use theirs.
func (a *Allotment) Counted(now time.Time, vms int) {
	if a.expired(now) {
		*a = Allotment{since: now, vms: vms}
	}
	a.told, a.counted = vms, now
	switch {
	case vms >= a.vms:
		if vms > a.vms && a.before == 0 {
			a.before, a.fellAt = a.vms, now
		}
		a.vms, a.next = vms, 0
	case a.next == 0:
		a.next, a.nextSince = vms, now
	default:
		a.next = max(a.next, vms)
	}
}

// VMs returns the number of VMs among which to divide, or 0 if this VM has no allotment. It has none before a window
// has passed since it was first counted: an earlier process of this VM may have spent it, and the other VMs may have
// divided by fewer. For the same reason a part grows only once the others have spent for a window what they were told
// together with it, but for what it was less than a window ago: nobody has been given that meanwhile.
func (a *Allotment) VMs(now time.Time, window time.Duration) int {
	if a.expired(now) || now.Sub(a.since) < window {
		return 0
	}
	if a.before > 0 && (now.Sub(a.fellAt) >= window || a.fellAt.Sub(a.since) < window) {
		a.before = 0
	}
	if a.before > 0 && a.told < a.vms {
		a.vms = max(a.told, a.before)
	}
	if a.next > 0 && now.Sub(a.nextSince) >= window+tellTime {
		a.vms, a.next, a.nextSince = min(a.vms, a.next), a.told, now
	}
	if a.told == a.vms {
		a.next = 0
	}
	return a.vms
}

func (a *Allotment) expired(now time.Time) bool {
	return a.counted.IsZero() || now.Sub(a.counted) >= allotmentLifetime
}
