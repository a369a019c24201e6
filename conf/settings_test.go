package conf_test

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conf"
)

func minimalSettings(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("testdata/minimal.ini")
	require.NoError(t, err)
	return string(data)
}

func TestInvalidSettings(t *testing.T) {
	cases := map[string]struct {
		extra          string
		section, key   string
		value, allowed string
	}{
		"unknown section":   {"[plattform]\n", "plattform", "", "", "unknown section"},
		"unknown key":       {"[log]\nvolume = info\n", "log", "volume", "info", "known: format, level"},
		"choice":            {"[log]\nlevel = loud\n", "log", "level", `"loud"`, "one of debug info warn error"},
		"duration":          {"[limits]\nread_timeout = 10\n", "limits", "read_timeout", `"10"`, "a duration"},
		"out of range":      {"[limits]\nretry_share = 2\n", "limits", "retry_share", `"2"`, "from 0 to 1"},
		"not an integer":    {"[limits]\nbody_bytes = many\n", "limits", "body_bytes", `"many"`, "an integer"},
		"missing key":       {"[vm b]\nfailure_domain = one\nlisten = 127.0.0.1:9\n", "vm b", "peer_listen", "(missing)", "an IP address and port"},
		"host name":         {"[vm b]\nfailure_domain = one\nlisten = localhost:9\npeer_listen = 127.0.0.1:8\n", "vm b", "listen", `"localhost:9"`, "an IP address and port"},
		"undefined domain":  {"[vm b]\nfailure_domain = two\nlisten = 127.0.0.1:9\npeer_listen = 127.0.0.1:8\n", "vm b", "failure_domain", "two", "one of one"},
		"duplicate address": {"[vm b]\nfailure_domain = one\nlisten = 127.0.0.1:1001\npeer_listen = 127.0.0.1:8\n", "vm b", "listen", "127.0.0.1:1001", "does not use"},
		"short secret":      {"[callers]\nkitchen = abc\n", "callers", "kitchen", "(secret)", "at least 8"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := conf.Parse([]byte(minimalSettings(t) + c.extra))
			var validationErr *conf.ValidationError
			require.ErrorAs(t, err, &validationErr)
			require.Len(t, validationErr.Violations, 1)
			violation := validationErr.Violations[0]
			require.Equal(t, c.section, violation.Section)
			require.Equal(t, c.key, violation.Key)
			require.Equal(t, c.value, violation.Value)
			require.Contains(t, violation.Allowed, c.allowed)
		})
	}
}

func TestAllViolationsReported(t *testing.T) {
	data, err := os.ReadFile("testdata/five_violations.ini")
	require.NoError(t, err)
	_, err = conf.Parse(data)
	var validationErr *conf.ValidationError
	require.True(t, errors.As(err, &validationErr))
	require.Len(t, validationErr.Violations, 5)
}

func TestParsedValues(t *testing.T) {
	s, err := conf.Parse([]byte(minimalSettings(t)))
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, s.Duration("platform", "timeout"))
	require.Equal(t, 0.1, s.Float("limits", "retry_share"))
	vm, err := s.VM("a")
	require.NoError(t, err)
	require.Equal(t, "one", vm.FailureDomain())
	_, err = s.VM("z")
	require.Error(t, err)
	servers := s.Pools()[0].Servers(s.FailureDomains())
	require.Len(t, servers, 2)
	require.Equal(t, "127.0.0.1:1011", servers[1].Address)
	require.Equal(t, 64<<30, servers[0].MemoryBytes)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[log]\nlevel = info\n"))
	f.Add([]byte("[vm "))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = conf.Parse(data) })
}
