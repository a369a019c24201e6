package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
)

const (
	// crashPart is the part of a prompt that crashes servers. Its prompts share their other parts with sound ones.
	crashPart = "dead"
	// partTimeout is the time within which all VMs must refuse it, and partRounds how often it is then sent to each.
	partTimeout = 30 * time.Second
	partRounds  = 4
	// partPause is the pause between two sends.
	partPause = 30 * time.Millisecond
	// blockedPartText is in the answer to a request with a blocked part.
	blockedPartText = "share a part of this prompt"
)

// checkParts sends requests that are all different and share a part of their prompts, under which servers crash, among
// sound ones to all VMs. It guards against VMs that do not block the part, and against blocking sound requests too.
func (r *run) checkParts(ctx context.Context) {
	refusedBy := make(map[*vm]bool)
	sent := 0
	for deadline := time.Now().Add(partTimeout); len(refusedBy) < len(r.vms); {
		if time.Now().After(deadline) {
			r.checks.AddViolation("a part of prompts crashed servers for %v and is refused by %d of %d VMs", partTimeout, len(refusedBy), len(r.vms))
			return
		}
		for _, v := range r.vms {
			sent++
			if r.sendPrompt(v, fmt.Sprintf("part-%d-%d", r.options.Seed, sent), "aa:60,bb:20,"+crashPart+":10") == http.StatusServiceUnavailable {
				refusedBy[v] = true
			}
			r.sendPrompt(v, fmt.Sprintf("sound-%d-%d", r.options.Seed, sent), "aa:60,bb:20")
			pause.For(ctx, partPause)
		}
	}
	crashes := r.partCrashes(sent)
	served := 0
	for range partRounds {
		for _, v := range r.vms {
			sent++
			r.sendPrompt(v, fmt.Sprintf("part-%d-%d", r.options.Seed, sent), "aa:60,bb:20,"+crashPart+":10")
			if r.sendPrompt(v, fmt.Sprintf("sound-%d-%d", r.options.Seed, sent), "aa:60,bb:20") == http.StatusOK {
				served++
			}
		}
	}
	if later := r.partCrashes(sent) - crashes; later > maxLaterCrashes {
		r.checks.AddViolation("a part of prompts crashed %d servers, and %d more after all VMs had refused it", crashes, later)
	}
	if wanted := partRounds * len(r.vms); 2*served < wanted {
		r.checks.AddViolation("%d of %d sound requests that share the other parts are served while a part is blocked", served, wanted)
	}
}

// partCrashes returns how often the first requests with the part have run: each run is a crash.
func (r *run) partCrashes(sent int) int {
	n := 0
	for i := 1; i <= sent; i++ {
		n += len(r.site.Runs.Servers(fmt.Sprintf("part-%d-%d", r.options.Seed, i)))
	}
	return n
}

// sendPrompt sends a request whose prompt begins with parts to a VM. It returns the status, and only for a blocked part
// that of a refusal.
func (r *run) sendPrompt(v *vm, id, parts string) (status int) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := r.site.CallAfter(context.Background(), client, v.listenAddress, id, http.MethodPost, "/draft/x", demo.SiteModels[0], "body of "+id, demo.Progress{Prompt: parts + "," + id + ":10"})
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var body strings.Builder
	if err := resp.Write(&body); err != nil {
		return 0
	}
	if resp.StatusCode == http.StatusServiceUnavailable && !strings.Contains(body.String(), blockedPartText) {
		return 0
	}
	return resp.StatusCode
}
