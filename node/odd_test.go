package node

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// oddValues are values that neither a server nor an operator writes.
var oddValues = map[string]string{
	"null":                `null`,
	"empty object":        `{}`,
	"a number":            `7`,
	"a string":            `"x"`,
	"a list":              `[{}]`,
	"nested 20,000 deep":  strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	"nested 200,000 deep": strings.Repeat(`{"a":`, 200_000) + `1` + strings.Repeat("}", 200_000),
	"member nested deep":  `{"Version":9,"Models":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	"no JSON":             `{"Version":tru}`,
	"no UTF-8":            "{\"Service\":\"\xff\"}",
	"control byte":        "\"\x00\"",
	"value of 1 MB":       `"` + strings.Repeat("x", 1<<20) + `"`,
}

// oddDocuments has further odd values, in the words of the platform.
const oddDocuments = "../platform/testdata/odd/*.json"

// allOddValues returns the odd values by name.
func allOddValues(t *testing.T) map[string]string {
	t.Helper()
	all := maps.Clone(oddValues)
	files, err := filepath.Glob(oddDocuments)
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		value, err := os.ReadFile(file)
		require.NoError(t, err)
		all[filepath.Base(file)] = string(value)
	}
	return all
}

// maxOddLine is more than any line of the log about an odd value may have.
const maxOddLine = 1500

// lockedBuffer is a log that may be written and read at once.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(b.String(), "\n")
}

// startFollowing starts a VM that reads a store for itself.
func startFollowing(t *testing.T, o *stand.ObjectStore, log *lockedBuffer) *Node {
	t.Helper()
	s := httptest.NewServer(platform.NewStoreHandler(o))
	t.Cleanup(s.Close)
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	client := &http.Client{Transport: &http.Transport{}}
	n := New(Config{
		Settings: settings, Objects: platform.NewStoreClient(client, strings.TrimPrefix(s.URL, "http://")),
		ConfigKind: platform.ConfigKind, ConfigName: platform.ConfigName, ServerKind: platform.ServerKind,
		DecodeTable: platform.DecodeTable, DecodeEntry: platform.DecodeEntry, CloseIdleStoreConns: client.CloseIdleConnections, Now: clock.Now, Log: zerolog.New(log),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	t.Cleanup(func() { cancel(); following.Wait() })
	following.Go(func() { n.followConfig(ctx) })
	following.Go(func() { n.follow(ctx, n.serverWatcher()) })
	return n
}

func writeServer(t *testing.T, o *stand.ObjectStore, name, softwareVersion string) {
	t.Helper()
	value, err := platform.EncodeEntry(backs.Entry{Service: "s", Address: "127.0.0.1:80", Domain: "d", SoftwareVersion: softwareVersion, Slots: 4})
	require.NoError(t, err)
	_, err = o.Put(platform.ServerKind, name, -1, value)
	require.NoError(t, err)
}

// Guards against a VM that stops following, or takes an odd value for a server or a configuration, because of another
// writer's object among those that it reads.
func TestOddObjectsAmongThoseFollowed(t *testing.T) {
	for name, odd := range allOddValues(t) {
		for _, before := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", there at the start", false: ", comes later"}[before], func(t *testing.T) {
				t.Parallel()
				o, log := &stand.ObjectStore{}, &lockedBuffer{}
				writeOdd := func(kind, name string) {
					_, err := o.Put(kind, name, -1, json.RawMessage(odd))
					require.NoError(t, err)
				}
				configureStore(t, o, 3)
				writeServer(t, o, "sound", "v1")
				if before {
					writeOdd(platform.ServerKind, "odd")
					writeOdd(platform.ConfigKind, "odd")
				}
				n := startFollowing(t, o, log)
				awaitVersion := func(version string) {
					require.Eventually(t, func() bool {
						e, ok := n.serverView.Entry("sound")
						return ok && e.SoftwareVersion == version && n.serverView.Usable(n.now(), "sound")
					}, restoreTimeout, time.Millisecond, version)
				}
				awaitVersion("v1")
				require.Eventually(t, func() bool { return n.table.Load() != nil }, restoreTimeout, time.Millisecond)

				writeOdd(platform.ServerKind, "odd")
				writeOdd(platform.ServerKind, "SOUND")
				writeOdd(platform.ConfigKind, platform.ConfigName)
				writeServer(t, o, "sound", "v2")
				awaitVersion("v2")
				require.Equal(t, 3, n.table.Load().Version())
				configureStore(t, o, 5)
				require.Eventually(t, func() bool { return n.table.Load().Version() == 5 }, restoreTimeout, time.Millisecond)

				long := strings.Repeat("n", 1<<20)
				writeOdd(platform.ServerKind, long)
				o.Delete(platform.ServerKind, long)
				writeOdd(platform.ServerKind, "sound")
				require.Eventually(t, func() bool { return !n.serverView.Usable(n.now(), "sound") }, restoreTimeout, time.Millisecond)
				_, listed := n.serverView.Entry("sound")
				require.True(t, listed, "it is not gone")
				writeServer(t, o, "sound", "v2")
				awaitVersion("v2")
				require.False(t, n.kindUnreachable(platform.ServerKind))
				require.Equal(t, 1, n.serverView.Count())

				told := 0
				for _, line := range log.lines() {
					require.Less(t, len(line), maxOddLine)
					require.NotContains(t, line, "store unreachable")
					if strings.Contains(line, "ignoring invalid server entry") {
						told++
					}
				}
				require.GreaterOrEqual(t, told, 3)
				require.LessOrEqual(t, told, 7, "each change is told once")
			})
		}
	}
}

// Guards against a VM that takes a document which is no configuration for one, and answers that no route exists.
func TestEmptyConfigurationIsNone(t *testing.T) {
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	for name, value := range map[string]string{"null": `null`, "empty": `{}`, "others' fields": `{"Service":"s"}`} {
		t.Run(name, func(t *testing.T) {
			n := New(Config{Settings: settings, ConfigKind: platform.ConfigKind, ConfigName: platform.ConfigName, DecodeTable: platform.DecodeTable, Now: clock.Now, Log: zerolog.Nop()})
			n.applyConfigObject(store.Object{Name: platform.ConfigName, Version: 3, Value: []byte(value)})
			n.applyHubConfig(4, []byte(value))
			require.Nil(t, n.table.Load())
			n.applyConfigObject(store.Object{Name: platform.ConfigName, Version: 5, Value: []byte(`{"Version":1}`)})
			require.Equal(t, 1, n.table.Load().Version())
		})
	}
}
