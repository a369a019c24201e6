package demo_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

const (
	crashingBody = "crash"
	// crashLimit is the number of crashes after which the request must be blocked, and
	// maxLaterCrashes bounds the crashes after every VM must have blocked it.
	crashLimit      = 3
	maxLaterCrashes = 3
	// blockTimeout is how long the VMs have to block the request after the last of these crashes.
	blockTimeout = 3 * time.Second
)

// crashCount returns how often the request has crashed a server.
func crashCount(s *demo.Site) int {
	n := 0
	for _, b := range s.Backends(demo.SiteModelService) {
		n += b.Crashes()
	}
	return n
}

// callerAddressCount is the number of addresses from which the request is sent.
const callerAddressCount = 50

// sendCrashingRequest sends the request that crashes servers to a VM, with a new identifier and
// from a random address.
func sendCrashingRequest(ctx context.Context, s *demo.Site, address string) (status int, retryAfter string) {
	from := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+rand.IntN(callerAddressCount)))}}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: from.DialContext}}
	id := fmt.Sprintf("crash-%d", time.Now().UnixNano())
	resp, err := s.Call(ctx, client, address, id, http.MethodPost, "/draft/same", "m1", crashingBody)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// crashServers sends the request to all VMs in turn until it has crashed crashLimit servers, and
// then waits until every VM must have blocked it.
func crashServers(ctx context.Context, t *testing.T, s *demo.Site) {
	t.Helper()
	for i := 0; crashCount(s) < crashLimit; i++ {
		require.NoError(t, ctx.Err(), "the request crashed too few servers within the test limit")
		sendCrashingRequest(ctx, s, s.VMAddresses()[i%len(s.VMAddresses())])
	}
	time.Sleep(blockTimeout)
}

// Guards against a request that has crashed three servers crashing further ones when it is
// repeated, and against blocking other requests for the model.
func TestCrashingRequestBlocked(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{CrashBody: crashingBody})
	crashServers(ctx, t, s)
	before := crashCount(s)
	for i := range 8 * len(s.VMAddresses()) {
		sendCrashingRequest(ctx, s, s.VMAddresses()[i%len(s.VMAddresses())])
		require.LessOrEqual(t, crashCount(s)-before, maxLaterCrashes)
		got := callUntilAccepted(ctx, t, s, s.VMAddresses()[i%len(s.VMAddresses())], fmt.Sprint("other", i), http.MethodPost, "/draft/other", "m1")
		require.Equal(t, http.StatusOK, got.status, "a different request for the same model: "+got.body)
	}
}

// blockEvents are the failures that a block must survive, by name.
var blockEvents = map[string]func(ctx context.Context, t *testing.T, s *demo.Site){
	"no event": func(context.Context, *testing.T, *demo.Site) {},
	"the controller is killed": func(_ context.Context, t *testing.T, s *demo.Site) {
		i := controllerIndex(t, s)
		s.KillNode(i)
		requireEventually(t, func() bool { return s.Node((i+1)%3).Leading() || s.Node((i+2)%3).Leading() }, 5*time.Millisecond)
	},
	"all VMs are restarted": func(ctx context.Context, t *testing.T, s *demo.Site) {
		for i := range s.VMAddresses() {
			s.KillNode(i)
		}
		for i := range s.VMAddresses() {
			require.NoError(t, s.StartNode(ctx, i))
		}
		require.NoError(t, s.WaitReady(ctx))
	},
	"the store is unavailable": func(_ context.Context, _ *testing.T, s *demo.Site) {
		s.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
	},
}

// Guards against a blocked request reaching servers again after a change of controller, a restart
// of all VMs or a store outage, and against a refusal without status 503 or the remaining block
// time.
func TestBlockSurvivesFailures(t *testing.T) {
	for name, event := range blockEvents {
		t.Run(name, func(t *testing.T) {
			s, ctx := startSite(t, demo.SiteOptions{CrashBody: crashingBody})
			crashServers(ctx, t, s)
			before := crashCount(s)
			event(ctx, t, s)
			refused := 0
			for i := range 6 * len(s.VMAddresses()) {
				status, retryAfter := sendCrashingRequest(ctx, s, s.VMAddresses()[i%len(s.VMAddresses())])
				if status == 0 {
					continue // The VM is down.
				}
				require.Equal(t, http.StatusServiceUnavailable, status)
				wait, err := strconv.ParseFloat(retryAfter, 64)
				require.NoError(t, err)
				require.Greater(t, wait, time.Hour.Seconds()-testTimeout.Seconds())
				refused++
			}
			require.GreaterOrEqual(t, refused, 12)
			require.Equal(t, before, crashCount(s))
		})
	}
}

// Guards against losing crash records if the store is unavailable during the first crashes and each
// VM in turn is killed and restarted afterwards.
func TestCrashRecordsDuringStoreOutage(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{CrashBody: crashingBody})
	s.Objects.SetFaults(stand.ObjectStoreFaults{UnavailableTo: []string{"*"}})
	for range 3 {
		sendCrashingRequest(ctx, s, s.VMAddresses()[0])
	}
	s.Objects.SetFaults(stand.ObjectStoreFaults{})
	crashServers(ctx, t, s)
	before := crashCount(s)
	for i := range s.VMAddresses() {
		s.KillNode(i)
		require.NoError(t, s.StartNode(ctx, i))
		require.NoError(t, s.WaitReady(ctx))
	}
	for i := range 6 * len(s.VMAddresses()) {
		sendCrashingRequest(ctx, s, s.VMAddresses()[i%len(s.VMAddresses())])
	}
	require.LessOrEqual(t, crashCount(s)-before, maxLaterCrashes)
}

// controllerIndex returns the index of the VM that acts as the controller.
func controllerIndex(t *testing.T, s *demo.Site) int {
	t.Helper()
	for i := range s.VMAddresses() {
		if s.Node(i).Leading() {
			return i
		}
	}
	require.Fail(t, "no VM is the controller")
	return 0
}
