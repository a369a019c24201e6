package admit_test

import (
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/admit"
)

// While one caller's requests fill the queue, another caller's request is
// served next.
func ExampleGate() {
	now := time.Unix(1_000_000, 0)
	later := now.Add(time.Minute)
	var g admit.Gate
	g.SetLimits(admit.Limits{Concurrency: 1, Queue: 10})
	for id := range uint64(4) {
		g.Arrive(now, admit.Ticket{ID: id, Caller: "flood", Target: later, Deadline: later})
	}
	g.Arrive(now, admit.Ticket{ID: 4, Caller: "quiet", Target: later, Deadline: later})
	for _, t := range g.Finish(time.Second) {
		fmt.Println(t.Caller)
	}
	// Output: quiet
}
