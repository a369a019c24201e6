package pass

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// A server is silent, and a configuration removes the key of its request before another server is asked, or the route,
// service and models go. Guards against leaving the first server, which goes on, for one that the request may not be
// sent to.
func TestConfigChangeWhileServerIsSilent(t *testing.T) {
	tables := map[string]func(r routes.Route) []*routes.Table{
		"key removed": func(routes.Route) []*routes.Table { return one(withTeams(t, 2, routes.Team{Name: "a"})) },
	}
	for name, change := range configChanges {
		tables[name] = change
	}
	for changeName, change := range tables {
		for _, kindName := range []string{"idempotent", "resumable stream"} {
			for _, inStream := range []bool{false, true} {
				kind := configKinds[kindName]
				if inStream && kind.Kind != routes.Stream {
					continue
				}
				name := changeName + "/" + kindName
				if inStream {
					name += ", begun"
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					u := newUnderWay(t, kind)
					route := underWayRoute(kind)
					route.Objective = time.Millisecond
					u.table.Store(configOf(1, &routes.Engine{}, []string{"s"}, route))
					u.list("a", u.serve("a", inStream))
					conn, err := net.Dial("tcp", serveGateway(t, u.g).Listener.Addr().String())
					require.NoError(t, err)
					t.Cleanup(func() { _ = conn.Close() })
					sendUnderWay(t, conn, "whole body")
					<-u.reached
					u.change(change(route))
					u.list("b", u.serve("b", inStream))
					for u.g.Meter.CounterValue("pass.silent") == 0 {
						time.Sleep(time.Millisecond)
					}
					close(u.proceed)
					requireAnswer(t, bufio.NewReader(conn), u.wholeAnswer(false, inStream))
				})
			}
		}
	}
}
