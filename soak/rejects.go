package soak

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
)

const (
	// rejectsPerSecond is how many requests each server can reject in a second. rejectLoadDuration is how long
	// requests are sent, more than the servers can serve, as each takes rejectProcessing.
	rejectsPerSecond   = 3
	rejectLoadDuration = 8 * time.Second
	rejectProcessing   = 200 * time.Millisecond
)

// checkRejectLimit makes all plain servers crash if they reject more than a few requests in a second, asks more
// of them than they can serve, and counts how often they crash. It guards against VMs that together make a
// server reject too many, although it says that it can not.
func (r *run) checkRejectLimit(ctx context.Context) {
	servers := r.site.Backends(demo.SitePlainService)
	for _, b := range servers {
		b.SetRejectLimit(time.Now(), rejectsPerSecond, rejectProcessing)
	}
	r.sendLoadToAll(ctx, rejectLoadDuration, "rejects")
	falls := 0
	for _, b := range servers {
		falls += b.Falls()
		b.SetRejectLimit(time.Now(), 0, 0)
	}
	if allowed := 2 + len(servers)/10; falls > allowed {
		r.checks.AddViolation("servers that may reject %d requests a second crashed %d times, %d are allowed", rejectsPerSecond, falls, allowed)
	}
}
