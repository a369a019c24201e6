package pick

import "time"

// Load pattern: the demand for a model jumps, and its one or two copies get several
// times what they can read; more copies are being loaded and take some seconds. If
// all requests are sent, those copies have a queue of many seconds: what is behind
// it is answered when its caller has left, and can not be moved to the new copies
// when they are there. A queue of a second keeps a copy busy just as well.
//
// So requests beyond that wait at their VM, where they can still go to any copy.
// When there is room, each VM lets in a part of those that it holds, by how many it
// takes all VMs to hold; else all of them come at once and the queue is as long as
// before. A request that found no room for as long as its answer should have taken
// is refused, as its caller can do better: it is told when to come back.

const (
	// roomLimit is the queue at a server, in time to read it, up to which requests
	// are sent. It covers what is not known yet of the load by other VMs, some 300
	// to 500 ms, with as much again, so that a server is not left idle.
	roomLimit = time.Second
	// RoomPause lies between two looks for room: load is told as often.
	RoomPause = 100 * time.Millisecond
	// roomWaitLeast is how long a request waits for room at least.
	roomWaitLeast = 300 * time.Millisecond
)

// Room decides whether a request is sent or waits.
type Room struct {
	// Held is how many requests for the model this VM holds, this one too when it
	// has waited before; VMs is how many VMs there are.
	Held, VMs int
}

// Admit reports whether a request may be sent to the server chosen for it. chance
// is a random number from 0 up to 1.
func (r Room) Admit(c Choice, chance float64) bool {
	room := roomLimit - c.Queue
	if room <= 0 {
		return false
	}
	if r.Held <= 0 {
		return true
	}
	waiting := time.Duration(r.Held*max(r.VMs, 1)) * max(c.Reading, time.Millisecond)
	return chance < room.Seconds()/waiting.Seconds()
}

// HasRoom reports whether the server takes the request without a wait for a slot or
// a long queue, as far as known.
func (c Choice) HasRoom() bool {
	return c.Queue < roomLimit && (c.Server.Slots == 0 || c.Load.Running < c.Server.Slots)
}

// RoomWait returns how long a request with an objective waits for room.
func RoomWait(objective time.Duration) time.Duration { return max(objective, roomWaitLeast) }

// ComeBack returns when a request that found no room should come back: when the
// queue it met has room again.
func ComeBack(queue time.Duration) time.Duration { return max(queue-roomLimit/2, roomLimit/2) }
