package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const smallSettings = `
[deployment]
name = small
failure_domains = one, two
[platform]
address = 127.0.0.1:1000
timeout = 500ms
[weight_store]
loads_per_second = 1000
model_load = 10ms
[pool llm]
servers = 2
first_address = 127.0.0.1:1010
memory_gib = 10
kv_gib = 2
first_token = 5ms
between_tokens = 2ms
order_lateness = 1s
[pool desk]
backend = service
servers = 1
first_address = 127.0.0.1:1020
[vm one-1]
failure_domain = one
listen = 127.0.0.1:1030
peer_listen = 127.0.0.1:1031
[vm two-1]
failure_domain = two
listen = 127.0.0.1:1032
peer_listen = 127.0.0.1:1033
[peers]
key = peer-key-0123456789
operator_key = operator-key-0123456789
heartbeat = 50ms
dead_after = 1s
[limits]
body_bytes = 4096
prompt_bytes = 1024
`

const testTimeout = time.Minute

// startDeployment starts the small deployment: one profile of each kind on two
// servers for models and one plain service.
func startDeployment(t *testing.T, adjust func(*entry.Config)) *demo.Deployment {
	t.Helper()
	settings, err := conf.Parse([]byte(smallSettings))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	deployment, err := demo.Start(ctx, demo.Options{
		Settings: settings, Profiles: smallProfiles(), Preload: true, Seed: 1, Log: zerolog.Nop(), AdjustVM: adjust,
	})
	require.NoError(t, err)
	t.Cleanup(deployment.Close)
	require.NoError(t, deployment.WaitReady(ctx))
	return deployment
}

func smallProfiles() []wire.Profile {
	draft := profs.Defaults()
	draft.Name, draft.Pool, draft.RunsAllowed = "draft", "llm", 3
	draft.Models = []wire.Model{{Name: "m", Version: 1, Bytes: 1 << 30, Adapters: []wire.Adapter{{Name: "x", Version: 1, Bytes: 1 << 20}}}}
	issue := profs.Defaults()
	issue.Name, issue.Pool, issue.WholeAnswerMs = "issue", "llm", 4000
	issue.Models = []wire.Model{{Name: "n", Version: 1, Bytes: 1 << 30}}
	desk := profs.Defaults()
	desk.Name, desk.Pool, desk.Backend, desk.WholeAnswerMs = "desk", "desk", wire.ProfileBackendService, 2000
	return []wire.Profile{draft, issue, desk}
}

// response is the HTTP response to a request.
type response struct {
	status  int
	header  http.Header
	framing httpx.Framing
	body    string
	problem struct {
		Outcome string `json:"outcome"`
		Title   string `json:"title"`
		Error   struct {
			Param string `json:"param"`
		} `json:"error"`
	}
}

// post sends a request to a VM; headers are given as name, value pairs.
func post(t *testing.T, deployment *demo.Deployment, vm, path, body string, headers ...string) response {
	t.Helper()
	return send(t, deployment, http.MethodPost, vm, path, body, headers...)
}

func send(t *testing.T, deployment *demo.Deployment, method, vm, path, body string, headers ...string) response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+deployment.VMs()[vm].Address()+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	r := response{status: resp.StatusCode, header: resp.Header, framing: httpx.FramingOf(resp), body: string(text)}
	_ = json.Unmarshal(text, &r.problem)
	return r
}

// text returns the text of a complete completion response.
func (r response) text(t *testing.T) string {
	t.Helper()
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	require.Len(t, body.Choices, 1, r.body)
	return body.Choices[0].Text
}

// streamText returns the text of a stream of a plain completion, and whether
// the stream was complete.
func (r response) streamText() (string, bool) {
	var text strings.Builder
	complete := false
	for line := range strings.SplitSeq(r.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var body struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &body) == nil && len(body.Choices) == 1 {
			text.WriteString(body.Choices[0].Text)
		}
	}
	return text.String(), complete
}

func completion(model, id string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"prompt":"menu %s"}`, model, tokens, stand.Marker(id))
}

func expectedText(model, id string, tokens int) string {
	return strings.Join(stand.CompletionTokens(model, "", "menu "+stand.Marker(id), tokens), "")
}

func loanCall(id string) string { return fmt.Sprintf(`{"entry":"loan %s"}`, stand.Marker(id)) }
