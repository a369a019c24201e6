package node

import (
	"bytes"
	"context"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// Guards against logs that do not tell that the store came back from a copy, or tell it with each call.
func TestEraInLog(t *testing.T) {
	var out bytes.Buffer
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	n := New(Config{Settings: settings, Now: clock.Now, Log: zerolog.New(&out)})
	for _, c := range []struct {
		kind    string
		version int
		line    string
	}{
		{"config", store.VersionOf(3, 94), ""},
		{"servers", store.VersionOf(3, 95), ""},
		{"servers", store.VersionOf(4, 67), `{"level":"warn","vm":"a","kind":"servers","era_before":3,"era":4,"version":67,"message":"store came back from a copy"}` + "\n"},
		{"config", store.VersionOf(4, 67), ""},
		{"config", store.VersionOf(3, 96), ""},
		{"config", store.VersionOf(4, 68), ""},
	} {
		out.Reset()
		n.recordEra(c.kind, c.version)
		require.Equal(t, c.line, out.String())
	}
	out.Reset()
	n.log.Info().EmbedObject(loggedVersion(store.VersionOf(4, 67))).Msg("")
	require.JSONEq(t, `{"level":"info","vm":"a","era":4,"version":67}`, out.String())
}

// Guards against a sound server that gets no requests for seconds because the copy of a restored store lacks its entry.
func TestServerThatCopyLacksStaysInUse(t *testing.T) {
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	listed := store.Listing{Version: store.VersionOf(1, 94), Items: []store.Object{{Name: "a"}, {Name: "b"}}}
	n := New(Config{
		Settings: settings, ServerKind: "servers", Now: clock.Now, Log: zerolog.Nop(),
		Objects:     store.Objects{List: func(context.Context, string) (store.Listing, error) { return listed, nil }},
		DecodeEntry: func(o store.Object) (backs.Entry, error) { return backs.Entry{ID: o.Name, Service: "s"}, nil },
	})
	_, err = n.listOnce(t.Context(), n.serverWatcher())
	require.NoError(t, err)
	listed = store.Listing{Version: store.VersionOf(2, 67), Items: []store.Object{{Name: "a"}}}
	_, err = n.listOnce(t.Context(), n.serverWatcher())
	require.NoError(t, err)
	require.True(t, n.serverView.Usable(clock.Now(), "b"))
}
