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
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

func engines(w *demo.Deployment) []*stand.Engine {
	var all []*stand.Engine
	for _, s := range w.Servers() {
		if e := w.Engine(s.Name); e != nil {
			all = append(all, e)
		}
	}
	return all
}

// The caller sees its whole answer, each token once, though the engine's
// connection breaks before a frame: at each position in turn, the end frame
// too. The gateway resumes the run on its engine, so that it runs once.
func TestStreamCutAtEachFrame(t *testing.T) {
	w := world(t, nil)
	const tokens = 8
	id := func(cut int) string { return fmt.Sprint("cut", cut) }
	for cut := 1; cut <= tokens+1; cut++ {
		var done atomic.Bool
		for _, e := range engines(w) {
			e.CutBefore = func(_ string, sequence int) bool { return sequence == cut && done.CompareAndSwap(false, true) }
		}
		body := strings.Replace(completion("issue/n", id(cut), tokens), "{", `{"stream":true,`, 1)
		r := post(t, w, "one-1", "/v1/completions", body, entry.HeaderKey, id(cut))
		text, whole := r.streamText()
		require.True(t, whole, r.body)
		require.Equal(t, wanted("n", id(cut), tokens), text)
		require.Equal(t, 1, w.Runs.Of(id(cut)))
	}
}

// Frames of other attempts and repeated frames come with the caller's own. The
// caller sees only its own answer, once.
func TestCrossedAndRepeatedFrames(t *testing.T) {
	w := world(t, nil)
	for _, e := range engines(w) {
		e.SetFaults(stand.EngineFaults{CrossShare: 0.5, RepeatShare: 0.5})
	}
	for i := range 20 {
		id := fmt.Sprint("crossed", i)
		r := post(t, w, "one-1", "/v1/completions", completion("draft/m", id, 16))
		require.Equal(t, wanted("m", id, 16), r.text(t))
	}
	require.Positive(t, w.VMs()["one-1"].Metrics().Counter("relay.frames_foreign"))
	require.Positive(t, w.VMs()["one-1"].Metrics().Counter("relay.frames_repeated"))
}

// The server that runs an idempotent request dies in the middle of its stream.
// The run can not be resumed; it starts again elsewhere, hidden from the
// caller, who gets each token once.
func TestServerDiesInStream(t *testing.T) {
	w := world(t, nil)
	waitCopies(t, w, "m", 2)
	const tokens = 200
	var killed atomic.Bool
	for _, s := range w.Servers() {
		if e := w.Engine(s.Name); e != nil {
			e.CutBefore = func(_ string, sequence int) bool {
				if sequence != 3 || !killed.CompareAndSwap(false, true) {
					return false
				}
				w.KillServer(s.Name)
				return true
			}
		}
	}
	body := strings.Replace(completion("draft/m", "dies", tokens), "{", `{"stream":true,`, 1)
	r := post(t, w, "one-1", "/v1/completions", body)
	text, whole := r.streamText()
	require.True(t, whole, r.body)
	require.Equal(t, wanted("m", "dies", tokens), text)
	require.Equal(t, 2, w.Runs.Of("dies"))
}

func waitCopies(t *testing.T, w *demo.Deployment, model string, copies int) {
	t.Helper()
	require.Eventually(t, func() bool {
		n := 0
		for _, e := range engines(w) {
			if e.Has(model, "") {
				n++
			}
		}
		return n >= copies && w.Overcommits() == 0
	}, longestTest, 20*time.Millisecond)
	time.Sleep(500 * time.Millisecond) // until the VMs have polled it
}

// The service runs a call and its answer is lost. The caller is told "unknown";
// when it asks again with the same key it is told so again, and the call has
// run once. Its own retry by the gateway would run it twice.
func TestLostAnswerOfOnceOnlyCall(t *testing.T) {
	w := world(t, nil)
	desk := w.Service("desk-1")
	desk.SetFaults(stand.ServiceFaults{LoseAnswers: 1})
	first := post(t, w, "one-1", "/services/desk/loans", entryCall("lost"), entry.HeaderKey, "k")
	require.Equal(t, "unknown", first.problem.Outcome, first.body)
	desk.SetFaults(stand.ServiceFaults{})
	for _, vm := range []string{"one-1", "two-1"} {
		require.Eventually(t, func() bool {
			again := post(t, w, vm, "/services/desk/loans", entryCall("lost"), entry.HeaderKey, "k")
			return again.problem.Title == "claim_unknown" && again.problem.Outcome == "unknown"
		}, longestTest, 20*time.Millisecond)
	}
	require.Equal(t, 1, w.Runs.Of("lost"))
}

// A request with a key that was used is answered from the kept answer, through
// any VM, and does not run again; the key with another body is an error.
func TestRepeatedKey(t *testing.T) {
	w := world(t, nil)
	first := post(t, w, "one-1", "/services/desk/loans", entryCall("rep"), entry.HeaderKey, "k")
	require.Equal(t, 200, first.status, first.body)
	var second reply
	require.Eventually(t, func() bool {
		second = post(t, w, "two-1", "/services/desk/loans", entryCall("rep"), entry.HeaderKey, "k")
		return second.problem.Title != "claim_in_progress"
	}, longestTest, 20*time.Millisecond)
	require.Equal(t, first.body, second.body)
	other := post(t, w, "two-1", "/services/desk/loans", entryCall("other"), entry.HeaderKey, "k")
	require.Equal(t, 422, other.status)
	require.Equal(t, "not_run", other.problem.Outcome)
	require.Equal(t, 1, w.Runs.Of("rep"))
	require.Equal(t, 0, w.Runs.Of("other"))
}

// The store carries out the claim and its answer is lost. The gateway reads the
// claim back, finds its own grant and sends the request, once.
func TestClaimAnswerLost(t *testing.T) {
	w := world(t, nil)
	w.Platform.SetFaults(stand.PlatformFaults{LoseAnswers: 0.5})
	for i := range 20 {
		id := fmt.Sprint("claim", i)
		r := post(t, w, "one-1", "/services/desk/loans", entryCall(id), entry.HeaderKey, id)
		if r.status == 200 {
			require.Equal(t, 1, w.Runs.Of(id))
			continue
		}
		require.Equal(t, "not_run", r.problem.Outcome, r.body)
		require.Equal(t, 0, w.Runs.Of(id))
	}
}

// The platform is away. Requests that may run once are refused at once with
// "not_run" and a time to come back; the others are served as before. When the
// platform is back the refused key can be used.
func TestPlatformAway(t *testing.T) {
	w := world(t, nil)
	w.Platform.SetFaults(stand.PlatformFaults{Outage: true})
	for range 3 {
		r := post(t, w, "one-1", "/services/desk/loans", entryCall("away"), entry.HeaderKey, "k")
		require.Equal(t, 503, r.status, r.body)
		require.Equal(t, "not_run", r.problem.Outcome)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	served := post(t, w, "one-1", "/v1/completions", completion("draft/m", "away2", 8))
	require.Equal(t, 200, served.status, served.body)
	w.Platform.SetFaults(stand.PlatformFaults{})
	require.Eventually(t, func() bool {
		return post(t, w, "one-1", "/services/desk/loans", entryCall("away"), entry.HeaderKey, "k").status == 200
	}, longestTest, 50*time.Millisecond)
	require.Equal(t, 1, w.Runs.Of("away"))
}

// A caller goes away in the middle of a stream. The engine is told to stop, so
// that nobody's tokens are generated; a once-only request goes on instead, and
// its answer is there when the caller asks again.
func TestCallerGoesAway(t *testing.T) {
	w := world(t, nil)
	leave := func(body string, headers ...string) {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.VMs()["one-1"].Address()+"/v1/completions", strings.NewReader(body))
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
		for _, e := range engines(w) {
			n += e.Counts().Canceled
		}
		return n
	}
	leave(strings.Replace(completion("draft/m", "gone", 500), "{", `{"stream":true,`, 1))
	require.Eventually(t, func() bool { return canceled() == 1 }, longestTest, 10*time.Millisecond)

	body := strings.Replace(completion("issue/n", "gone-once", 100), "{", `{"stream":true,`, 1)
	leave(body, entry.HeaderKey, "k")
	require.Eventually(t, func() bool {
		again := post(t, w, "two-1", "/v1/completions", completion("issue/n", "gone-once", 100), entry.HeaderKey, "k")
		return again.status == 200 && again.text(t) == wanted("n", "gone-once", 100)
	}, longestTest, 50*time.Millisecond)
	require.Equal(t, 1, w.Runs.Of("gone-once"))
	require.Equal(t, int64(1), canceled())
}

// A server is leaving: its first refusal is the sign. The request goes
// elsewhere and nothing new is sent to the server.
func TestLeavingServer(t *testing.T) {
	w := world(t, nil)
	waitCopies(t, w, "m", 2)
	w.Engine("llm-1").SetFaults(stand.EngineFaults{Draining: true})
	for i := range 20 {
		r := post(t, w, "one-1", "/v1/completions", completion("draft/m", fmt.Sprint("leave", i), 4))
		require.Equal(t, 200, r.status, r.body)
	}
	require.Zero(t, w.Engine("llm-1").Counts().Started)
	require.LessOrEqual(t, w.VMs()["one-1"].Metrics().Counter("relay.failed.refused"), int64(1))
}

// A VM is stopped while it streams. Every request in progress ends whole, new
// ones are refused with "not_run", and then the process ends.
func TestStopCutsOffNothing(t *testing.T) {
	w := world(t, nil)
	address := w.VMs()["one-1"].Address()
	const streams = 20
	results := make(chan reply, streams)
	for i := range streams {
		go func() {
			body := strings.Replace(completion("draft/m", fmt.Sprint("stop", i), 300), "{", `{"stream":true,`, 1)
			resp, err := http.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
			if err != nil {
				results <- reply{body: err.Error()}
				return
			}
			defer resp.Body.Close()
			var text strings.Builder
			_, err = io.Copy(&text, resp.Body)
			results <- reply{status: resp.StatusCode, body: text.String() + fmt.Sprint(err)}
		}()
	}
	require.Eventually(t, func() bool {
		n := int64(0)
		for _, e := range engines(w) {
			n += e.Counts().Started
		}
		return n == streams
	}, longestTest, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), longestTest)
	defer cancel()
	require.NoError(t, w.StopVM(ctx, "one-1"))
	for range streams {
		r := <-results
		_, whole := r.streamText()
		require.True(t, whole, r.body)
	}
	_, err := http.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader("{}"))
	require.Error(t, err, "the VM has ended")
}

// A VM can not reach the platform while a profile is changed and another is
// retired. It learns both from its peer, and a late copy of the old document
// does not bring the retired one back.
func TestProfilesSpreadPastThePlatform(t *testing.T) {
	w := world(t, nil)
	w.Platform.SetFaults(stand.PlatformFaults{CutNodes: []string{"two-1"}})
	docs := smallProfiles()
	docs[0].MaxTokens = 5
	docs[1].Retired = true
	require.NoError(t, w.ApplyProfile(docs[0]))
	require.NoError(t, w.ApplyProfile(docs[1]))
	require.Eventually(t, func() bool {
		changed := post(t, w, "two-1", "/v1/completions", completion("draft/m", "spread", 8))
		retired := post(t, w, "two-1", "/v1/completions", completion("issue/n", "spread", 8), entry.HeaderKey, "k")
		return changed.status == 400 && retired.status == 410
	}, longestTest, 20*time.Millisecond)
}

// Two operators change one profile at once. One is accepted; the other gets a
// conflict with the version that is there now.
func TestOperatorsRace(t *testing.T) {
	w := world(t, nil)
	obj, ok := w.Platform.Get(profs.Kind, "draft")
	require.True(t, ok)
	doc, err := profs.Parse(obj.Value)
	require.NoError(t, err)
	operator := profs.NewOperator(w.StoreClient("operator"))
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

// A profile that could not be placed is refused with the arithmetic.
func TestProfileThatDoesNotFit(t *testing.T) {
	w := world(t, nil)
	operator := profs.NewOperator(w.StoreClient("operator"))
	operator.Fits = profs.FitsIn(w.StoreClient("operator").List)
	doc := smallProfiles()[0]
	doc.Models = append(doc.Models, wire.Model{Name: "huge", Version: 1, Bytes: 9 << 30})
	_, err := operator.Apply(context.Background(), doc, -1)
	require.ErrorContains(t, err, "huge (9663676416 bytes with its adapters) fits on no server")
	var stored wire.Profile
	obj, _ := w.Platform.Get(profs.Kind, "draft")
	require.NoError(t, json.Unmarshal(obj.Value, &stored))
	require.Len(t, stored.Models, 1)
}
