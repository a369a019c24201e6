package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

func engines(deployment *demo.Deployment) []*stand.Engine {
	var all []*stand.Engine
	for _, s := range deployment.Servers() {
		if e := deployment.Engine(s.Name); e != nil {
			all = append(all, e)
		}
	}
	return all
}

// The connection to the engine breaks before a frame, at each position in turn,
// including the end frame. The gateway resumes the run on its engine: the
// caller gets each token once and the request runs once.
func TestStreamCutAtEachFrame(t *testing.T) {
	deployment := startDeployment(t, nil)
	const tokens = 8
	id := func(cut int) string { return fmt.Sprint("cut", cut) }
	for cut := 1; cut <= tokens+1; cut++ {
		var done atomic.Bool
		for _, e := range engines(deployment) {
			e.DisconnectBefore = func(_ string, sequence int) bool { return sequence == cut && done.CompareAndSwap(false, true) }
		}
		body := strings.Replace(completion("issue/n", id(cut), tokens), "{", `{"stream":true,`, 1)
		r := post(t, deployment, "one-1", "/v1/completions", body, entry.HeaderIdempotencyKey, id(cut))
		text, complete := r.streamText()
		require.True(t, complete, r.body)
		require.Equal(t, expectedText("n", id(cut), tokens), text)
		require.Equal(t, 1, deployment.Runs.Count(id(cut)))
	}
}

// Frames of other attempts and repeated frames arrive among the frames of an
// attempt. The caller must get only its own response, once.
func TestForeignAndRepeatedFrames(t *testing.T) {
	deployment := startDeployment(t, nil)
	for _, e := range engines(deployment) {
		e.SetFaults(stand.EngineFaults{ForeignFrameShare: 0.5, DuplicateShare: 0.5})
	}
	for i := range 20 {
		id := fmt.Sprint("crossed", i)
		r := post(t, deployment, "one-1", "/v1/completions", completion("draft/m", id, 16))
		require.Equal(t, expectedText("m", id, 16), r.text(t))
	}
	require.Positive(t, deployment.VMs()["one-1"].Metrics().CounterValue("relay.frames_foreign"))
	require.Positive(t, deployment.VMs()["one-1"].Metrics().CounterValue("relay.frames_repeated"))
}

// The server that runs an idempotent request crashes in the middle of the
// stream. The run cannot be resumed. It starts again on another server,
// transparently: the caller gets each token once.
func TestServerCrashInStream(t *testing.T) {
	deployment := startDeployment(t, nil)
	waitReplicas(t, deployment, "m", 2)
	const tokens = 200
	var killed atomic.Bool
	for _, s := range deployment.Servers() {
		if e := deployment.Engine(s.Name); e != nil {
			e.DisconnectBefore = func(_ string, sequence int) bool {
				if sequence != 3 || !killed.CompareAndSwap(false, true) {
					return false
				}
				deployment.KillServer(s.Name)
				return true
			}
		}
	}
	body := strings.Replace(completion("draft/m", "dies", tokens), "{", `{"stream":true,`, 1)
	r := post(t, deployment, "one-1", "/v1/completions", body)
	text, complete := r.streamText()
	require.True(t, complete, r.body)
	require.Equal(t, expectedText("m", "dies", tokens), text)
	require.Equal(t, 2, deployment.Runs.Count("dies"))
}

func waitReplicas(t *testing.T, deployment *demo.Deployment, model string, replicas int) {
	t.Helper()
	require.Eventually(t, func() bool {
		n := 0
		for _, e := range engines(deployment) {
			if e.IsLoaded(model, "") {
				n++
			}
		}
		return n >= replicas && deployment.Overcommits() == 0
	}, testTimeout, 20*time.Millisecond)
	time.Sleep(500 * time.Millisecond) // until the VMs have polled the engines
}

// The service runs a call and its response is lost. The caller gets the outcome
// "unknown", also when it repeats the key, and the call has run once. A retry
// by the gateway would run it twice.
func TestLostResponseOfOnceOnlyCall(t *testing.T) {
	deployment := startDeployment(t, nil)
	desk := deployment.Service("desk-1")
	desk.SetFaults(stand.ServiceFaults{LostResponseShare: 1})
	first := post(t, deployment, "one-1", "/services/desk/loans", loanCall("lost"), entry.HeaderIdempotencyKey, "k")
	require.Equal(t, "unknown", first.problem.Outcome, first.body)
	desk.SetFaults(stand.ServiceFaults{})
	for _, vm := range []string{"one-1", "two-1"} {
		require.Eventually(t, func() bool {
			again := post(t, deployment, vm, "/services/desk/loans", loanCall("lost"), entry.HeaderIdempotencyKey, "k")
			return again.problem.Title == "claim_unknown" && again.problem.Outcome == "unknown"
		}, testTimeout, 20*time.Millisecond)
	}
	require.Equal(t, 1, deployment.Runs.Count("lost"))
}

// A request with a used key gets the stored response, through any VM, and does
// not run again. The key with another body is an error.
func TestRepeatedIdempotencyKey(t *testing.T) {
	deployment := startDeployment(t, nil)
	first := post(t, deployment, "one-1", "/services/desk/loans", loanCall("rep"), entry.HeaderIdempotencyKey, "k")
	require.Equal(t, 200, first.status, first.body)
	var second response
	require.Eventually(t, func() bool {
		second = post(t, deployment, "two-1", "/services/desk/loans", loanCall("rep"), entry.HeaderIdempotencyKey, "k")
		return second.problem.Title != "claim_in_progress"
	}, testTimeout, 20*time.Millisecond)
	require.Equal(t, first.body, second.body)
	other := post(t, deployment, "two-1", "/services/desk/loans", loanCall("other"), entry.HeaderIdempotencyKey, "k")
	require.Equal(t, 422, other.status)
	require.Equal(t, "not_run", other.problem.Outcome)
	require.Equal(t, 1, deployment.Runs.Count("rep"))
	require.Equal(t, 0, deployment.Runs.Count("other"))
}

// The store applies the claim and its response is lost. The gateway reads the
// claim, finds its own grant and sends the request, once.
func TestLostClaimResponse(t *testing.T) {
	deployment := startDeployment(t, nil)
	deployment.Platform.SetFaults(stand.PlatformFaults{LostResponseShare: 0.5})
	for i := range 20 {
		id := fmt.Sprint("claim", i)
		r := post(t, deployment, "one-1", "/services/desk/loans", loanCall(id), entry.HeaderIdempotencyKey, id)
		if r.status == 200 {
			require.Equal(t, 1, deployment.Runs.Count(id))
			continue
		}
		require.Equal(t, "not_run", r.problem.Outcome, r.body)
		require.Equal(t, 0, deployment.Runs.Count(id))
	}
}

// During an outage of the platform, requests that may run only once are refused
// at once with "not_run" and a Retry-After header; other requests are served.
// After the outage the refused key can be used.
func TestPlatformOutage(t *testing.T) {
	deployment := startDeployment(t, nil)
	deployment.Platform.SetFaults(stand.PlatformFaults{Outage: true})
	for range 3 {
		r := post(t, deployment, "one-1", "/services/desk/loans", loanCall("away"), entry.HeaderIdempotencyKey, "k")
		require.Equal(t, 503, r.status, r.body)
		require.Equal(t, "not_run", r.problem.Outcome)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	served := post(t, deployment, "one-1", "/v1/completions", completion("draft/m", "away2", 8))
	require.Equal(t, 200, served.status, served.body)
	deployment.Platform.SetFaults(stand.PlatformFaults{})
	require.Eventually(t, func() bool {
		return post(t, deployment, "one-1", "/services/desk/loans", loanCall("away"), entry.HeaderIdempotencyKey, "k").status == 200
	}, testTimeout, 50*time.Millisecond)
	require.Equal(t, 1, deployment.Runs.Count("away"))
}

// A caller disconnects in the middle of a stream. The gateway cancels the run
// on the engine, so that no unused tokens are generated. A once-only request
// continues instead, and its response is returned when the caller repeats the
// key.
func TestCallerDisconnect(t *testing.T) {
	deployment := startDeployment(t, nil)
	disconnect := func(body string, headers ...string) {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+deployment.VMs()["one-1"].Address()+"/v1/completions", strings.NewReader(body))
		require.NoError(t, err)
		for i := 0; i+1 < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_, err = resp.Body.Read(make([]byte, 1))
		require.NoError(t, err)
		cancel()
		_ = resp.Body.Close()
	}
	canceled := func() (n int64) {
		for _, e := range engines(deployment) {
			n += e.Counts().Canceled
		}
		return n
	}
	disconnect(strings.Replace(completion("draft/m", "gone", 500), "{", `{"stream":true,`, 1))
	require.Eventually(t, func() bool { return canceled() == 1 }, testTimeout, 10*time.Millisecond)

	body := strings.Replace(completion("issue/n", "gone-once", 100), "{", `{"stream":true,`, 1)
	disconnect(body, entry.HeaderIdempotencyKey, "k")
	require.Eventually(t, func() bool {
		again := post(t, deployment, "two-1", "/v1/completions", completion("issue/n", "gone-once", 100), entry.HeaderIdempotencyKey, "k")
		return again.status == 200 && again.text(t) == expectedText("n", "gone-once", 100)
	}, testTimeout, 50*time.Millisecond)
	require.Equal(t, 1, deployment.Runs.Count("gone-once"))
	require.Equal(t, int64(1), canceled())
}

// A draining server refuses its first request. The request goes to another
// server, and no further request is sent to the draining one.
func TestDrainingServer(t *testing.T) {
	deployment := startDeployment(t, nil)
	waitReplicas(t, deployment, "m", 2)
	deployment.Engine("llm-1").SetFaults(stand.EngineFaults{Draining: true})
	for i := range 20 {
		r := post(t, deployment, "one-1", "/v1/completions", completion("draft/m", fmt.Sprint("leave", i), 4))
		require.Equal(t, 200, r.status, r.body)
	}
	require.Zero(t, deployment.Engine("llm-1").Counts().Started)
	require.LessOrEqual(t, deployment.VMs()["one-1"].Metrics().CounterValue("relay.failed.refused"), int64(1))
}

// A VM is stopped while it streams. Every request in progress completes, new
// ones are refused with "not_run", and then the process ends.
func TestGracefulStop(t *testing.T) {
	deployment := startDeployment(t, nil)
	address := deployment.VMs()["one-1"].Address()
	const streams = 20
	results := make(chan response, streams)
	for i := range streams {
		go func() {
			body := strings.Replace(completion("draft/m", fmt.Sprint("stop", i), 300), "{", `{"stream":true,`, 1)
			resp, err := http.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
			if err != nil {
				results <- response{body: err.Error()}
				return
			}
			defer resp.Body.Close()
			var text strings.Builder
			_, err = io.Copy(&text, resp.Body)
			results <- response{status: resp.StatusCode, body: text.String() + fmt.Sprint(err)}
		}()
	}
	require.Eventually(t, func() bool {
		n := int64(0)
		for _, e := range engines(deployment) {
			n += e.Counts().Started
		}
		return n == streams
	}, testTimeout, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, deployment.StopVM(ctx, "one-1"))
	for range streams {
		r := <-results
		_, complete := r.streamText()
		require.True(t, complete, r.body)
	}
	_, err := http.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader("{}"))
	require.Error(t, err, "the VM still accepts connections after StopVM")
}

// A VM cannot reach the platform while one profile is changed and another is
// retired. It gets both changes from its peer, and a delayed copy of the old
// document does not reactivate the retired profile.
func TestProfileUpdateThroughPeers(t *testing.T) {
	deployment := startDeployment(t, nil)
	deployment.Platform.SetFaults(stand.PlatformFaults{DisconnectedVMs: []string{"two-1"}})
	docs := smallProfiles()
	docs[0].MaxTokens = 5
	docs[1].Retired = true
	require.NoError(t, deployment.ApplyProfile(docs[0]))
	require.NoError(t, deployment.ApplyProfile(docs[1]))
	require.Eventually(t, func() bool {
		changed := post(t, deployment, "two-1", "/v1/completions", completion("draft/m", "spread", 8))
		retired := post(t, deployment, "two-1", "/v1/completions", completion("issue/n", "spread", 8), entry.HeaderIdempotencyKey, "k")
		return changed.status == 400 && retired.status == 410
	}, testTimeout, 20*time.Millisecond)
}

// Two operators change one profile at the same time. One change is accepted;
// the other gets a conflict with the current version.
func TestConcurrentProfileUpdates(t *testing.T) {
	deployment := startDeployment(t, nil)
	obj, ok := deployment.Platform.Get(profs.ObjectKind, "draft")
	require.True(t, ok)
	doc, err := profs.Parse(obj.Value)
	require.NoError(t, err)
	operator := profs.NewOperator(deployment.StoreClient("operator"))
	errs := make(chan error, 2)
	for i := range 2 {
		changed := doc
		changed.Priority = i
		go func() {
			_, err := operator.Apply(context.Background(), changed, obj.Version)
			errs <- err
		}()
	}
	first, second := <-errs, <-errs
	require.True(t, (first == nil) != (second == nil), "%v, %v", first, second)
	if first == nil {
		first = second
	}
	require.ErrorContains(t, first, "the current version is")
}

// A profile that does not fit on any server is refused with the required and
// available sizes.
func TestOversizedProfile(t *testing.T) {
	deployment := startDeployment(t, nil)
	operator := profs.NewOperator(deployment.StoreClient("operator"))
	operator.CheckCapacity = profs.CapacityCheck(deployment.StoreClient("operator").List)
	doc := smallProfiles()[0]
	doc.Models = append(doc.Models, wire.Model{Name: "huge", Version: 1, Bytes: 9 << 30})
	_, err := operator.Apply(context.Background(), doc, -1)
	require.ErrorContains(t, err, "huge (9663676416 bytes with its adapters) fits on no server")
	var stored wire.Profile
	obj, _ := deployment.Platform.Get(profs.ObjectKind, "draft")
	require.NoError(t, json.Unmarshal(obj.Value, &stored))
	require.Len(t, stored.Models, 1)
}

// A service ends its response with the connection, whole or in the middle. Guards against a length for a
// response that may have been cut short, also when it is replayed for the same key.
func TestServiceResponseWithoutLength(t *testing.T) {
	tests := map[string]struct {
		faults stand.ServiceFaults
		whole  bool
	}{
		"whole":     {stand.ServiceFaults{ByCloseShare: 1}, true},
		"truncated": {stand.ServiceFaults{CutShortShare: 1}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			deployment := startDeployment(t, nil)
			for _, s := range deployment.Servers() {
				if service := deployment.Service(s.Name); service != nil {
					service.SetFaults(tc.faults)
				}
			}
			for _, which := range []string{"first", "replayed"} {
				var r response
				require.Eventually(t, func() bool {
					r = post(t, deployment, "one-1", "/services/desk/entries", loanCall(name), entry.HeaderIdempotencyKey, name)
					return r.problem.Title != "claim_in_progress"
				}, testTimeout, 10*time.Millisecond)
				require.Equal(t, http.StatusOK, r.status, which+r.body)
				require.Equal(t, tc.whole, json.Valid([]byte(r.body)), which)
				require.Equal(t, httpx.FramedByClose, r.framing, "%s response framed by %s", which, r.framing)
			}
			require.Equal(t, 1, deployment.Runs.Count(name))
		})
	}
}

// An engine is silent inside an answer, or its caller takes the whole of it late, for longer than callers have to send
// a request or to take a frame. Guards against limits on those that end an answer.
func TestSilenceExceedsCallerTimeouts(t *testing.T) {
	const callerTimeout = 100 * time.Millisecond
	deployment := startDeployment(t, func(c *entry.Config) {
		c.Limits.ReadTimeout, c.Limits.WriteTimeout = callerTimeout, callerTimeout
	})
	for position, silentBefore := range map[string]int{"before the answer": 1, "inside the answer": 4} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", position, stream), func(t *testing.T) {
				for _, e := range engines(deployment) {
					e.DisconnectBefore = func(_ string, sequence int) bool {
						if sequence == silentBefore {
							time.Sleep(4 * callerTimeout)
						}
						return false
					}
				}
				id := fmt.Sprint("slow", silentBefore, stream)
				body := completion("issue/n", id, 8)
				if stream {
					body = strings.Replace(body, "{", `{"stream":true,`, 1)
				}
				// The connection is kept: what one answer leaves there must not end the next.
				for n := range 2 {
					id := fmt.Sprint(id, "-", n)
					r := post(t, deployment, "one-1", "/v1/completions", strings.Replace(body, "slow", fmt.Sprint(n, "slow"), 1), entry.HeaderIdempotencyKey, id)
					require.Equal(t, http.StatusOK, r.status, r.body)
					if stream {
						_, complete := r.streamText()
						require.True(t, complete, r.body)
					}
					refused := post(t, deployment, "one-1", "/v1/completions", "{", entry.HeaderIdempotencyKey, id)
					require.Equal(t, http.StatusBadRequest, refused.status, refused.body)
				}
			})
		}
	}
}
