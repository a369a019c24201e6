package conf_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conf"
)

const minimalNodeSettings = `
[vm]
name = a
failure_domain = d
listen = 10.0.0.1:80
ready_listen = 10.0.0.1:81
peer_listen = 10.0.0.1:82
[store]
address = 10.0.0.2:80
`

func TestNodeDefaults(t *testing.T) {
	s, err := conf.ParseNode([]byte(minimalNodeSettings))
	require.NoError(t, err)
	require.Equal(t, 1200*time.Millisecond, s.Duration("steering", "lease"))
	require.Equal(t, 8*time.Second, s.Duration("drain", "grace"))
}

func TestNodeAllViolationsReported(t *testing.T) {
	invalid := strings.Replace(minimalNodeSettings, "10.0.0.2:80", "somewhere", 1) + "[servers]\nsource = here\n[retries]\nshare = 7\n[drain]\nnap = 1s\n"
	_, err := conf.ParseNode([]byte(invalid))
	var validationErr *conf.ValidationError
	require.ErrorAs(t, err, &validationErr)
	require.Len(t, validationErr.Violations, 4)
	for _, want := range []string{`[store] address = "somewhere": allowed: an IP address`, `[servers] source = "here": allowed: an IP address`, `[retries] share = "7": allowed: a number from 0 to 1`, `[drain] nap`} {
		require.Contains(t, err.Error(), want)
	}
}
