package drain

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conns"
)

// connPair returns both ends of a connection, that of the VM first.
func connPair(t *testing.T) (vm, caller net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	caller, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	vm, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = caller.Close()
		_ = vm.Close()
	})
	return vm, caller
}

// Guards against a VM that stops and ends a connection on which a request is under way: one in progress, one that the VM
// has not read yet, or the first one of a new connection.
func TestCloseUnusedConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		states  []http.ConnState
		age     time.Duration
		arrived bool
		ended   bool
	}{
		"kept":                       {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, time.Second, false, true},
		"kept, with a new request":   {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, time.Second, true, false},
		"in progress":                {[]http.ConnState{http.StateNew, http.StateActive}, time.Hour, false, false},
		"new":                        {[]http.ConnState{http.StateNew}, newConnTime - 1, false, false},
		"new for long":               {[]http.ConnState{http.StateNew}, newConnTime, false, true},
		"new for long, with request": {[]http.ConnState{http.StateNew}, newConnTime, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			vm, caller := connPair(t)
			var c Conns
			for _, s := range tc.states {
				c.Record(now, vm, s)
			}
			if tc.arrived {
				_, err := caller.Write([]byte("x"))
				require.NoError(t, err)
				require.Eventually(t, func() bool { return conns.HasUnread(vm) }, time.Minute, time.Millisecond)
			}
			require.Equal(t, 1, c.CloseUnused(now.Add(tc.age)))
			if !tc.arrived && !tc.ended {
				_, err := caller.Write([]byte("x"))
				require.NoError(t, err)
			}
			_, err := vm.Read(make([]byte, 1))
			require.Equal(t, tc.ended, errors.Is(err, os.ErrDeadlineExceeded), err)
			c.Record(now, vm, http.StateClosed)
			require.Zero(t, c.CloseUnused(now))
		})
	}
}

// Guards against kept connections that are closed while a request is in progress or has just ended.
func TestQuietTimeOfCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	first, _ := connPair(t)
	second, _ := connPair(t)
	var c Conns
	require.GreaterOrEqual(t, c.quiet(now), QuietTime, "a VM without requests")
	c.Record(now, first, http.StateNew)
	c.Record(now, first, http.StateActive)
	c.Record(now, second, http.StateActive)
	require.Equal(t, 2, c.Active())
	c.Record(now.Add(time.Second), first, http.StateIdle)
	require.Zero(t, c.quiet(now.Add(time.Hour)))
	c.Record(now.Add(2*time.Second), second, http.StateClosed)
	require.Zero(t, c.Active())
	require.Equal(t, time.Second, c.quiet(now.Add(3*time.Second)))
	c.Record(now.Add(4*time.Second), first, http.StateActive)
	require.Zero(t, c.quiet(now.Add(time.Hour)))
	c.Record(now.Add(5*time.Second), first, http.StateHijacked)
	require.Equal(t, time.Second, c.quiet(now.Add(6*time.Second)))
}
