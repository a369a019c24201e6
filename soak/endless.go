package soak

import (
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// checkEndless checks that no VM has read a response without an end far beyond every bound, and counts what servers have sent
// that was no response.
func (r *run) checkEndless() {
	sent, brokenHeads := 0, 0
	for _, b := range r.allBackends() {
		n, overread := b.Endless()
		sent += n
		brokenHeads += b.BrokenHeads()
		if overread > 0 {
			r.checks.AddViolation("%d of %d responses of server %s without an end were read far beyond every bound", overread, n, b.ID)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults["endless_responses"], r.faults["broken_heads"] = sent, brokenHeads
}

func (r *run) allBackends() []*stand.Backend {
	return append(r.site.Backends(demo.SiteModelService), r.site.Backends(demo.SitePlainService)...)
}
