package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

const (
	// The hot team may send quotaRate requests per second and quotaBurst beyond them, and sends
	// several times that. quotaWindow, quotaOvershoot and quotaSlack are those of the VMs' settings.
	quotaRate      = 16
	quotaBurst     = 16
	quotaWindow    = 2 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	hotCallers     = 5
	hotInterval    = 60 * time.Millisecond
	// loweredFactor is the part of its quota that is left of the hot team after it was lowered.
	// applyTimeout is how long the VMs have to apply a configuration without faults, and
	// loweredLoadDuration how long the hot team then sends.
	loweredFactor       = 0.25
	applyTimeout        = 3 * time.Second
	loweredLoadDuration = 4 * time.Second
)

// Keys of the teams. wrongKey belongs to no team.
const (
	deskKey    = "desk-key"
	hotKey     = "hot-key"
	removedKey = "removed-key"
	wrongKey   = "wrong-key"
)

// teams returns the teams of a run. factor multiplies the hot team's quota; withKey keeps the key that
// is removed in the end.
func teams(factor float64, withKey bool) []routes.Team {
	guest := routes.Team{Name: "guest"}
	if withKey {
		guest.Keys = []string{removedKey}
	}
	return []routes.Team{
		{Name: "desk", Keys: []string{deskKey}},
		{Name: "hot", Keys: []string{hotKey}, Quota: routes.Quota{PerSecond: factor * quotaRate, Burst: factor * quotaBurst}},
		guest,
	}
}

// teamRequest is a request with a key.
type teamRequest struct {
	key    string
	sentAt time.Time
	status int
}

// teamRequests records the requests with keys, by ID.
type teamRequests struct {
	mu   sync.Mutex
	byID map[string]teamRequest
}

func (t *teamRequests) add(id string, r teamRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[string]teamRequest)
	}
	t.byID[id] = r
}

// sendWithKey sends a request with a key to a VM and returns its status, 0 if there was no response.
func (r *run) sendWithKey(client *http.Client, v *vm, id, key string) int {
	request := teamRequest{key: key, sentAt: time.Now()}
	resp, err := r.site.CallWithKey(context.Background(), client, v.listenAddress, id, key)
	if err == nil {
		request.status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	r.teamRequests.add(id, request)
	return request.status
}

// sendHot sends requests of the hot team, and some with a wrong key, to random VMs until ctx ends.
func (r *run) sendHot(ctx context.Context, name string, n int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(n)+500))
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		key := hotKey
		if rng.IntN(10) == 0 {
			key = wrongKey
		}
		r.sendWithKey(client, r.vms[rng.IntN(len(r.vms))], fmt.Sprintf("%s-%d-%d-%d", name, r.options.Seed, n, i), key)
		pause.For(ctx, hotInterval)
	}
}

// checkLoweredQuota lowers the hot team's quota and removes a key, kills a VM, and checks that the other
// VMs apply both. It guards against a VM that goes on with a key or a quota after its configuration has
// changed, and against VMs that use more than the quota together when one of them has just started.
func (r *run) checkLoweredQuota(ctx context.Context) {
	if err := r.site.Configure(1<<20, demo.SiteRoutes(), teams(loweredFactor, false)...); err != nil {
		r.checks.AddViolation("configuration not written: %v", err)
		return
	}
	pause.For(ctx, applyTimeout)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, v := range r.vms {
		if status := r.sendWithKey(client, v, fmt.Sprintf("removed-%d-%d", r.options.Seed, i), removedKey); status != http.StatusUnauthorized {
			r.checks.AddViolation("VM %d: status %d for a key that was removed %v ago", i, status, applyTimeout)
		}
	}
	pause.For(ctx, quotaWindow)
	loweredAt := time.Now()
	loadCtx, cancel := context.WithTimeout(ctx, loweredLoadDuration)
	defer cancel()
	var wait sync.WaitGroup
	for i := range hotCallers {
		wait.Go(func() { r.sendHot(loadCtx, "lowered", i) })
	}
	wait.Go(func() {
		pause.For(loadCtx, loweredLoadDuration/3)
		r.restart(r.vms[len(r.vms)-1], syscall.SIGKILL)(ctx, maxRestartDelay)
	})
	wait.Wait()
	r.checkQuota(loweredFactor, loweredAt)
}

// checkTeams checks what the servers executed against what the callers sent: a request runs only for
// the team that holds its key, without the key, and never with a key that no team holds.
func (r *run) checkTeams() {
	for _, run := range r.site.Teams.Runs() {
		if run.HasKey {
			r.checks.AddViolation("request %s: its key was passed on to a server", run.ID)
		}
		request, known := r.teamRequests.byID[run.ID]
		want := "desk"
		if known {
			want = map[string]string{hotKey: "hot", removedKey: "guest"}[request.key]
		}
		if run.Team != want || want == "" {
			r.checks.AddViolation("request %s: ran for team %q, key of team %q", run.ID, run.Team, want)
		}
	}
}

// checkQuota checks that in no window more requests of the hot team were both sent and executed than
// factor times its quota allows, among those sent from a time on.
func (r *run) checkQuota(factor float64, from time.Time) {
	allowed := (factor*quotaRate*quotaWindow.Seconds()+factor*quotaBurst)*(1+quotaOvershoot) + quotaSlack
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, run := range r.site.Teams.Runs() {
		if request := r.teamRequests.byID[run.ID]; request.key == hotKey && !request.sentAt.Before(from) {
			spans = append(spans, span{request.sentAt, run.At})
		}
	}
	for _, first := range spans {
		count := 0
		for _, s := range spans {
			if !s.sent.Before(first.sent) && s.ran.Before(first.sent.Add(quotaWindow)) {
				count++
			}
		}
		if float64(count) > allowed {
			r.checks.AddViolation("team hot: %d requests sent and executed in %v, at most %v allowed", count, quotaWindow, allowed)
			return
		}
	}
}
