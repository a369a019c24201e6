package demo_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// keptConn is a caller with one connection, on which it sends one request after the other and never again.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// served counts the requests on the present connection.
	served int
}

// RoundTrip implements http.RoundTripper. The body of the response has been read.
func (k *keptConn) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.conn == nil {
		conn, err := net.Dial("tcp", r.URL.Host)
		if err != nil {
			return nil, err
		}
		k.conn, k.reader, k.served = conn, bufio.NewReader(conn), 0
	}
	k.served++
	if err := r.Write(k.conn); err != nil {
		return nil, fmt.Errorf("write request %d of the connection: %w", k.served, err)
	}
	resp, err := http.ReadResponse(k.reader, r)
	if err != nil {
		return nil, fmt.Errorf("read response %d of the connection: %w", k.served, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read body %d of the connection, after %q: %w", k.served, body, err)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	if resp.Close {
		_ = k.conn.Close()
		k.conn = nil
	}
	return resp, nil
}

// changedRoutes returns the n-th of some configurations: as at the start, a route less, a longer prefix split off, and
// other times, priorities and numbers of servers.
func changedRoutes(n int) []routes.Route {
	all := demo.SiteRoutes()
	switch n % 4 {
	case 1:
		return all[1:]
	case 2:
		longer := all[0]
		longer.Name, longer.PathPrefix = "longer", "/look/x/"
		return append(all, longer)
	case 3:
		for i := range all {
			all[i].Timeout, all[i].Objective, all[i].MaxEventGap = all[i].Timeout*2, all[i].Objective/2, all[i].MaxEventGap/2
			all[i].Priority, all[i].MaxServers, all[i].Resumable = i, 1, false
		}
	}
	return all
}

const (
	// configChangeCount is the number of configurations, written at intervals of configInterval, and callerPause the time
	// between two requests of a caller.
	configChangeCount = 24
	configInterval    = 60 * time.Millisecond
	callerPause       = time.Millisecond
)

// Guards against requests, or kept connections between two of them, that end without a whole answer while the
// configuration changes many times a second, the settings are reloaded and servers are replaced in order.
func TestConfigChangesBesideLoad(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{})
	stopped, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	var mu sync.Mutex
	served := make(map[string]int)
	broken := make(chan error, 1000)
	for vm, address := range s.VMAddresses() {
		for kind, request := range demo.SiteRequestKinds {
			callers.Go(func() {
				client := &http.Client{Transport: &keptConn{}}
				model := ""
				for n := 0; stopped.Err() == nil; n++ {
					if len(request.Models) > 0 {
						model = request.Models[n%len(request.Models)]
					}
					resp, err := s.Call(ctx, client, address, fmt.Sprintf("%d-%d-%d", vm, kind, n), request.Method, request.Path, model, "body")
					if err != nil {
						broken <- fmt.Errorf("VM %d, %s: %w", vm, request.Path, err)
						return
					}
					switch resp.StatusCode {
					case http.StatusOK:
						mu.Lock()
						served[request.Path]++
						mu.Unlock()
					case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
					default:
						broken <- fmt.Errorf("VM %d, %s: status %d", vm, request.Path, resp.StatusCode)
					}
					time.Sleep(callerPause)
				}
			})
		}
	}
	changeConfiguration(ctx, t, s)
	stop()
	callers.Wait()
	close(broken)
	for err := range broken {
		require.NoError(t, err)
	}
	for _, request := range demo.SiteRequestKinds {
		require.NotZero(t, served[request.Path], request.Path)
	}
	for _, b := range s.Backends(demo.SiteModelService) {
		require.False(t, b.Overcommitted())
	}
}

// changeConfiguration writes configurations, two at a time now and then, reloads the settings of the VMs and replaces
// servers by new ones.
func changeConfiguration(ctx context.Context, t *testing.T, s *demo.Site) {
	t.Helper()
	text, err := demo.VMSettings(0, s.StoreAddress())
	require.NoError(t, err)
	settings, err := conf.ParseNode(text)
	require.NoError(t, err)
	for n := range configChangeCount {
		require.NoError(t, s.Configure(2+2*n, changedRoutes(n)))
		if n%3 == 0 {
			require.NoError(t, s.Configure(3+2*n, changedRoutes(n+1)))
		}
		if n%5 == 0 {
			s.Node(n % 3).Reload(settings)
		}
		if n%8 == 4 {
			b, err := s.AddBackend(demo.SitePlainService, 3+n)
			require.NoError(t, err)
			b.OnChange()
			s.Backends(demo.SitePlainService)[n/8].Drain()
		}
		require.NoError(t, ctx.Err())
		time.Sleep(configInterval)
	}
}
