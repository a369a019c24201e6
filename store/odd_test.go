package store_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/store"
)

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

func startPlatform(t *testing.T, respond func(w io.Writer, r *http.Request)) *store.Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { respond(w, r) }))
	t.Cleanup(s.Close)
	c := store.New(s.URL, "key", "vm")
	c.DisableRetries, c.Timeout = true, time.Minute
	return c
}

// Guards against a list, and a watch that never gets on, because of one object that can not be decoded.
func TestOddObjectCostsItselfOnly(t *testing.T) {
	const sound = `{"kind":"k","name":"sound","version":7,"type":"put","value":{"x":1}}`
	for name, odd := range map[string]string{
		"value nested deep":     `{"kind":"k","name":"odd","version":6,"type":"put","value":` + nested(20_000) + `}`,
		"member nested deep":    `{"x":` + nested(200_000) + `,"kind":"k","name":"odd","version":6,"type":"put","value":1}`,
		"name of wrong type":    `{"kind":"k","name":7,"version":6,"type":"put","value":1}`,
		"version of wrong type": `{"kind":"k","name":"odd","version":"x","type":"put","value":1}`,
		"version too large":     `{"kind":"k","name":"odd","version":1e30,"type":"put","value":1}`,
		"type of wrong type":    `{"kind":7,"name":"odd","version":6,"type":{},"value":1}`,
		"no JSON in it":         `{"kind":"k","name":"odd","version":6,"type":"put","value":tru}`,
		"empty":                 `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			c := startPlatform(t, func(w io.Writer, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/watch/") {
					_, _ = fmt.Fprintf(w, "%s\n%s\n", odd, sound)
					return
				}
				_, _ = fmt.Fprintf(w, `{"version":9,"items":[%s,%s]}`, odd, sound)
			})
			list, err := c.List(t.Context(), "k")
			require.NoError(t, err)
			require.Equal(t, 9, list.Version)
			require.Len(t, list.Items, 2)
			require.Equal(t, store.Object{Kind: "k", Name: "sound", Version: 7, Value: []byte(`{"x":1}`)}, list.Items[1])

			var names []string
			next, err := c.Watch(t.Context(), "k", 3, func(e store.Event) { names = append(names, e.Name) })
			require.True(t, store.IsUnavailable(err), "the stream ended: %v", err)
			require.Equal(t, 7, next)
			require.Equal(t, "sound", names[len(names)-1])
		})
	}
}

// Guards against a watch that ends at the same event again and again, and against a body that exhausts the memory.
func TestHugeObjects(t *testing.T) {
	chunk := strings.Repeat("x", 1<<20)
	c := startPlatform(t, func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, `{"version":9,"name":"`)
		for range 200 {
			if _, err := io.WriteString(w, chunk); err != nil {
				return
			}
		}
	})
	_, err := c.Watch(t.Context(), "k", 3, func(store.Event) {})
	require.True(t, store.IsGone(err), "%v", err)
	_, err = c.List(t.Context(), "k")
	require.ErrorContains(t, err, "longer than allowed")
	_, err = c.Get(t.Context(), "k", "n")
	require.ErrorContains(t, err, "longer than allowed")
}
