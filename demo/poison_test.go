package demo_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
)

const (
	// crashingBody is the body of the request that crashes backend servers.
	crashingBody = "crash"
	// crashesKnown is how many crashes show that a request causes them, and retriesAllowed how
	// often it may be sent again once every VM must know.
	crashesKnown   = 3
	retriesAllowed = 3
	// knownWithin is how long the VMs have to learn of the last of these crashes.
	knownWithin = 3 * time.Second
)

// crashes returns how often the request has crashed a server.
func crashes(s *demo.Site) int {
	n := 0
	for _, b := range s.Backends(demo.SiteModel) {
		n += b.Crashes()
	}
	return n
}

// sendCrashing sends the request that crashes servers to a VM, under a new identifier.
func sendCrashing(ctx context.Context, s *demo.Site, address string) (status int, retryAfter string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	id := fmt.Sprintf("crash-%d", time.Now().UnixNano())
	resp, err := s.Call(ctx, client, address, id, http.MethodPost, "/draft/same", "m1", crashingBody)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// crashServers sends the request to all VMs in turn until it has crashed enough servers to be
// known, and waits until every VM must know.
func crashServers(ctx context.Context, t *testing.T, s *demo.Site) {
	t.Helper()
	for i := 0; crashes(s) < crashesKnown; i++ {
		require.NoError(t, ctx.Err(), "the request does not reach servers")
		sendCrashing(ctx, s, s.Addresses()[i%len(s.Addresses())])
	}
	time.Sleep(knownWithin)
}

// A request that has crashed three servers crashes one after the other when it comes again.
func TestRequestCrashesServerAfterServer(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{CrashOn: crashingBody})
	crashServers(ctx, t, s)
	before := crashes(s)
	for i := range 8 * len(s.Addresses()) {
		sendCrashing(ctx, s, s.Addresses()[i%len(s.Addresses())])
		require.LessOrEqual(t, crashes(s)-before, retriesAllowed)
		got := comeBack(ctx, t, s, s.Addresses()[i%len(s.Addresses())], fmt.Sprint("other", i), http.MethodPost, "/draft/other", "m1")
		require.Equal(t, http.StatusOK, got.status, "another request for the model: "+got.body)
	}
}
