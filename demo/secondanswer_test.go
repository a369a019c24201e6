package demo_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// secondAnswerShare is the share of the answers that a server gives a second time.
const secondAnswerShare = 0.5

// relayTwice forwards connections to a server, and gives a share of its answers a second time, as the next request arrives
// on the connection. It returns its address.
func relayTwice(t *testing.T, target string) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("start relay: %w", err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			go (&relayedConn{client: client, server: server}).forward()
		}
	}()
	return l.Addr().String(), nil
}

// relayedConn is one connection through a relay. answer is what the server has sent since the last request.
type relayedConn struct {
	client, server net.Conn
	mu             sync.Mutex
	answer         []byte
}

func (c *relayedConn) forward() {
	go c.copyTo(c.client, c.server, func(data []byte) {
		c.answer = append(c.answer, data...)
	})
	c.copyTo(c.server, c.client, func([]byte) {
		if len(c.answer) > 0 && rand.Float64() < secondAnswerShare {
			_, _ = c.client.Write(c.answer)
		}
		c.answer = nil
	})
}

// copyTo forwards one direction, and calls before for what is forwarded.
func (c *relayedConn) copyTo(to, from net.Conn, before func(data []byte)) {
	defer c.client.Close()
	defer c.server.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			c.mu.Lock()
			before(buffer[:n])
			c.mu.Unlock()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Servers reject bookings, and give some of their answers a second time as the next request arrives on the connection. Guards
// against a booking that runs twice, and against one that is answered as not run although it has run, or gets the answer
// to another one.
func TestSecondAnswersOfServers(t *testing.T) {
	s, ctx := startSite(t, demo.SiteOptions{VMs: 2, Backends: 1, RegisteredAddress: func(_, address string) (string, error) { return relayTwice(t, address) }})
	ctx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	go func() {
		for ctx.Err() == nil {
			faults := stand.NewPendingFaults(stand.BackendFaults{Rejections: 1})
			for _, b := range s.Backends(demo.SitePlainService) {
				b.SetPendingFaults(faults)
			}
			time.Sleep(12 * time.Millisecond)
		}
	}()
	var checks demo.Checks
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[int]int)
	twice, refused := 0, 0
	for w := range 6 {
		wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%d-%d", w, i)
				o := s.SendRequest(context.WithoutCancel(ctx), client, s.VMAddresses()[w%2], id, demo.SiteRequestKinds[1], nil)
				checks.CheckOutcome(o)
				runs := len(s.Runs.Servers(id))
				mu.Lock()
				outcomes[o.Status]++
				if runs > 1 {
					twice++
				}
				if runs > 0 && o.Status == http.StatusServiceUnavailable {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	t.Logf("%v by status, %d ran twice, %d refused although they ran", outcomes, twice, refused)
	require.Empty(t, checks.Violations())
	require.Zero(t, twice, "bookings that ran twice")
	require.Zero(t, refused, "bookings that were refused although they ran")
	require.NotZero(t, outcomes[http.StatusOK])
}
