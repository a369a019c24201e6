package node

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

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
	} {
		out.Reset()
		n.recordEra(c.kind, c.version)
		require.Equal(t, c.line, out.String())
	}
	out.Reset()
	n.log.Info().EmbedObject(loggedVersion(store.VersionOf(4, 67))).Msg("")
	require.JSONEq(t, `{"level":"info","vm":"a","era":4,"version":67}`, out.String())
}
