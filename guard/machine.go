package guard

import (
	"math"

	"golang.org/x/sys/unix"
)

// Shares of a process's descriptors that connections to its ports may take. A request of a caller may need a connection of
// the process's own to a server, besides files and what else the process opens.
const (
	CallerShare = 5.0 / 16
	PeerShare   = 1.0 / 8
	// CheckShare is for a port of readiness checks or metrics, each.
	CheckShare = 1.0 / 32
)

// MemoryShare is the share of a machine's memory that connections may take, with the requests on them.
const MemoryShare = 0.25

// unreadShare is the share of a machine's memory that the kernel may hold for the connections of a port that have not been
// read. minUnreadBytes is the least for a connection, and defaultUnreadBytes what kernels begin with.
const (
	unreadShare        = 1.0 / 8
	minUnreadBytes     = 16 << 10
	defaultUnreadBytes = 64 << 10
)

// heapShare is the share of a machine's memory that the heap of a process may take at most, and minHeapShare what it may take
// on the smallest machine.
const (
	heapShare    = 0.6
	minHeapShare = 0.25
)

const (
	// programBytes is what the pages of the program take, which the garbage collector does not know of.
	programBytes = 24 << 20
	// collectedShare is to what share of its room the heap is limited, as the limit is exceeded while a collection runs.
	collectedShare = 0.9
)

// minConns is how many connections a port may have with the fewest descriptors.
const minConns = 4

// Descriptors returns how many descriptors a process may have: those of the settings, 0 for no limit there, or fewer if
// the kernel gives it fewer.
func Descriptors(settings int) int {
	descriptors := math.MaxInt32
	if settings > 0 {
		descriptors = settings
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(descriptors) {
		descriptors = int(limit.Cur)
	}
	return descriptors
}

// MaxConns returns how many connections a port with a share of the descriptors may have.
func MaxConns(descriptors int, share float64) int {
	return max(minConns, int(share*float64(descriptors)))
}

// MachineMemory returns the memory of the machine in bytes: that of the settings, in megabytes, or what the kernel reports
// if they have none. It is 0 if neither is known.
func MachineMemory(settingsMB int) int64 {
	if settingsMB > 0 {
		return int64(settingsMB) << 20
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram * uint64(info.Unit))
}

// HeapLimit returns the limit in bytes for the garbage collector of a process on a machine: what is left beside the pages of
// the program and what the kernel holds for connections, which are as large on a small machine as on any other.
func HeapLimit(memory int64) int64 {
	left := (1-unreadShare)*float64(memory) - programBytes
	return int64(max(minHeapShare*float64(memory), min(heapShare*float64(memory), collectedShare*left)))
}

// UnreadBytes returns how much the kernel may hold for each connection of a port that has not been read. With fewer
// connections each may have more, but not more than the kernel's default, which would grow without a bound.
func UnreadBytes(memory int64, maxConns int) int {
	bytes := int64(unreadShare * float64(memory) / float64(maxConns))
	return int(min(max(bytes, minUnreadBytes), defaultUnreadBytes))
}
