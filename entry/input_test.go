package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/entry"
)

// Every invalid request must get a 4xx status that names the field and the
// outcome "not_run", and must reach no backend server.
func TestBadInput(t *testing.T) {
	deployment := startDeployment(t, func(c *entry.Config) { c.CallersByKey = map[string]string{"kitchen-key": "kitchen"} })
	auth := []string{"Authorization", "Bearer kitchen-key"}
	const plain, chat = "/v1/completions", "/v1/chat/completions"
	cases := map[string]struct {
		path, body string
		headers    []string
		status     int
		field      string
	}{
		"not JSON":           {plain, `{"model":`, auth, 400, "body"},
		"wrong type":         {plain, `{"model":7}`, auth, 400, "model"},
		"no model":           {plain, `{"prompt":"x"}`, auth, 400, "model"},
		"unknown profile":    {plain, `{"model":"atlantis/m","prompt":"x"}`, auth, 404, "model"},
		"unknown model":      {plain, `{"model":"draft/zz","prompt":"x"}`, auth, 404, "model"},
		"unknown adapter":    {plain, `{"model":"draft/m:zz","prompt":"x"}`, auth, 404, "model"},
		"service by model":   {plain, `{"model":"desk/m","prompt":"x"}`, auth, 400, "model"},
		"no prompt":          {plain, `{"model":"draft/m"}`, auth, 400, "prompt"},
		"two prompts":        {plain, `{"model":"draft/m","prompt":["a","b"]}`, auth, 400, "prompt"},
		"long prompt":        {plain, `{"model":"draft/m","prompt":"` + strings.Repeat("x", 1100) + `"}`, auth, 413, "prompt"},
		"large body":         {plain, `{"model":"draft/m","prompt":"` + strings.Repeat("x", 5000) + `"}`, auth, 413, "body"},
		"zero tokens":        {plain, `{"model":"draft/m","prompt":"x","max_tokens":0}`, auth, 400, "max_tokens"},
		"too many tokens":    {plain, `{"model":"draft/m","prompt":"x","max_tokens":100000}`, auth, 400, "max_tokens"},
		"two choices":        {plain, `{"model":"draft/m","prompt":"x","n":2}`, auth, 400, "n"},
		"no messages":        {chat, `{"model":"draft/m"}`, auth, 400, "messages"},
		"unknown role":       {chat, `{"model":"draft/m","messages":[{"role":"chef","content":"x"}]}`, auth, 400, "messages[0].role"},
		"image part":         {chat, `{"model":"draft/m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, auth, 400, "messages[0].content"},
		"once-only, no key":  {plain, `{"model":"issue/n","prompt":"x"}`, auth, 400, "Idempotency-Key"},
		"long key":           {plain, `{"model":"issue/n","prompt":"x"}`, append([]string{"Idempotency-Key", strings.Repeat("k", 300)}, auth...), 400, "Idempotency-Key"},
		"two keys":           {plain, `{"model":"issue/n","prompt":"x"}`, append([]string{"Idempotency-Key", "a", "Idempotency-Key", "b"}, auth...), 400, "Idempotency-Key"},
		"unknown caller key": {plain, `{"model":"draft/m","prompt":"x"}`, []string{"Authorization", "Bearer guess"}, 401, "Authorization"},
		"no caller key":      {plain, `{"model":"draft/m","prompt":"x"}`, nil, 401, "Authorization"},
		"service, no key":    {"/services/desk/x", `{}`, auth, 400, "Idempotency-Key"},
		"service unknown":    {"/services/atlantis/x", `{}`, auth, 404, "model"},
		"engine as service":  {"/services/draft/x", `{}`, auth, 400, "model"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := post(t, deployment, "one-1", c.path, c.body, c.headers...)
			require.Equal(t, c.status, r.status, r.body)
			require.Equal(t, "not_run", r.problem.Outcome)
			require.Equal(t, "not_run", r.header.Get("Hibiscuscart-Outcome"))
			require.Equal(t, c.field, r.problem.Error.Param)
		})
	}
	for _, s := range deployment.Servers() {
		if e := deployment.Engine(s.Name); e != nil {
			require.Zero(t, e.Counts().Started)
			continue
		}
		require.Zero(t, deployment.Service(s.Name).Calls())
	}
}

func TestResponseFormats(t *testing.T) {
	deployment := startDeployment(t, nil)
	cases := map[string]struct {
		path, body string
		want       []string
	}{
		"complete":        {"/v1/completions", completion("draft/m", "a1", 8), []string{`"object":"text_completion"`, `"finish_reason":"stop"`, `"usage"`}},
		"stream":          {"/v1/completions", `{"model":"draft/m","prompt":"x","max_tokens":8,"stream":true}`, []string{"data: {", "data: [DONE]"}},
		"chat":            {"/v1/chat/completions", `{"model":"draft/m:x","max_tokens":8,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`, []string{`"object":"chat.completion"`, `"role":"assistant"`}},
		"chat stream":     {"/v1/chat/completions", `{"model":"draft/m","max_completion_tokens":8,"stream":true,"messages":[{"role":"user","content":"x"}]}`, []string{`"object":"chat.completion.chunk"`, `"delta"`, "data: [DONE]"}},
		"profile only":    {"/v1/completions", `{"model":"draft","prompt":["x"],"max_tokens":8}`, []string{`"model":"draft/`}},
		"unknown members": {"/v1/completions", `{"model":"draft/m","prompt":"x","max_tokens":8,"temperature":0.2,"user":"u"}`, []string{`"text"`}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := post(t, deployment, "one-1", c.path, c.body)
			require.Equal(t, 200, r.status, r.body)
			for _, part := range c.want {
				require.Contains(t, r.body, part)
			}
		})
	}
	byHeader := post(t, deployment, "one-1", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":8}`, entry.HeaderProfile, "draft")
	require.Equal(t, 200, byHeader.status)
	models := send(t, deployment, http.MethodGet, "one-1", "/v1/models", "")
	require.Contains(t, models.body, `"draft/m:x"`)
	require.Equal(t, 200, send(t, deployment, http.MethodGet, "one-1", "/services/desk/status", "").status, "a read-only call needs no idempotency key")
}
