package pass

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/origin"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// configKinds are the routes of requests that a configuration overtakes.
var configKinds = map[string]routes.Route{
	"idempotent":       {Kind: routes.Idempotent},
	"at most once":     {Kind: routes.AtMostOnce},
	"stream":           {Kind: routes.Stream},
	"resumable stream": {Kind: routes.Stream, Resumable: true},
}

// underWayRoute returns the route of the request under way, and keptRoute one that no change concerns.
func underWayRoute(kind routes.Route) routes.Route {
	kind.Name, kind.Host, kind.PathPrefix, kind.Timeout, kind.Objective, kind.MaxServers = "r", "h", "/x/", time.Hour, time.Hour, 2
	kind.Targets = []routes.Target{{Service: "s", Weight: 1}}
	return kind
}

func keptRoute() routes.Route {
	r := underWayRoute(routes.Route{Kind: routes.Idempotent})
	r.Name, r.PathPrefix = "kept", "/kept/"
	return r
}

// configOf returns a configuration with a route and keptRoute, whose services are s and those named.
func configOf(version int, engine *routes.Engine, services []string, list ...routes.Route) *routes.Table {
	all := make([]routes.Service, 0, len(services))
	for _, name := range services {
		all = append(all, routes.Service{Name: name, Engine: engine})
	}
	return routes.NewTable(version, append(list, keptRoute()), all, routes.Limits{})
}

// configChanges are the configurations that follow the one by which a request arrived.
var configChanges = map[string]func(r routes.Route) []*routes.Table{
	"route removed": func(routes.Route) []*routes.Table { return one(configOf(2, &routes.Engine{}, []string{"s"})) },
	"route moved to another service": changedRoute(func(r *routes.Route) {
		r.Targets = []routes.Target{{Service: "t", Weight: 1}}
	}),
	"route split by weights": changedRoute(func(r *routes.Route) {
		r.Targets = []routes.Target{{Service: "t", Weight: 99}, {Service: "s", Weight: 1}}
	}),
	"path prefix split off": func(r routes.Route) []*routes.Table {
		longer := r
		longer.Name, longer.PathPrefix, longer.Targets = "longer", "/x/y/", []routes.Target{{Service: "t", Weight: 1}}
		return one(configOf(2, &routes.Engine{}, []string{"s", "t"}, r, longer))
	},
	"timeout shorter than what was used": changedRoute(func(r *routes.Route) { r.Timeout = time.Nanosecond }),
	"timeout lengthened":                 changedRoute(func(r *routes.Route) { r.Timeout = 2 * time.Hour }),
	"objective, priority and number of servers changed": changedRoute(func(r *routes.Route) {
		r.Objective, r.MaxEventGap, r.EventTimeout, r.Priority, r.MaxServers = time.Nanosecond, time.Nanosecond, time.Nanosecond, 9, 1
	}),
	"another kind": changedRoute(func(r *routes.Route) { r.Kind, r.Resumable = routes.AtMostOnce, false }),
	"service removed": func(routes.Route) []*routes.Table {
		return one(configOf(2, nil, nil))
	},
	"models removed": func(r routes.Route) []*routes.Table {
		return one(configOf(2, &routes.Engine{Models: map[string]routes.Model{"other": {Name: "other"}}}, []string{"s"}, r))
	},
	"teams introduced, route public": func(r routes.Route) []*routes.Table {
		r.Public = true
		table, err := configOf(2, &routes.Engine{}, []string{"s"}, r).WithTeams([]routes.Team{{Name: "a", Keys: []string{testKey}}})
		if err != nil {
			panic(err)
		}
		return one(table)
	},
	"several in a row": func(r routes.Route) []*routes.Table {
		var list []*routes.Table
		for version := range 20 {
			list = append(list, configOf(2+2*version, nil, nil), configOf(3+2*version, &routes.Engine{}, []string{"s"}, r))
		}
		return append(list, configOf(100, nil, nil))
	},
}

func one(t *routes.Table) []*routes.Table { return []*routes.Table{t} }

func changedRoute(change func(*routes.Route)) func(routes.Route) []*routes.Table {
	return func(r routes.Route) []*routes.Table {
		change(&r)
		return one(configOf(2, &routes.Engine{}, []string{"s", "t"}, r))
	}
}

// underWay is a request that is under way when the configuration changes.
type underWay struct {
	t       *testing.T
	g       *Gateway
	kind    routes.Route
	table   atomic.Pointer[routes.Table]
	matched chan struct{}
	// reached receives a value when the request is at the point at which the configuration changes, and proceed lets
	// its server go on.
	reached, proceed chan struct{}
	breaks           bool
}

// serve is a server of service s. The first one that gets the request holds it before its head, or after the first
// event of a stream if inStream is set.
func (u *underWay) serve(name string, inStream bool) string {
	var hold sync.Once
	waitFor := func() {
		hold.Do(func() {
			u.reached <- struct{}{}
			<-u.proceed
			if u.breaks {
				panic(http.ErrAbortHandler)
			}
		})
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && !strings.HasPrefix(r.URL.Path, "/x/") && !strings.HasPrefix(r.URL.Path, "/kept/") {
			return
		}
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", name)
		if u.kind.Kind != routes.Stream || strings.HasPrefix(r.URL.Path, "/kept/") {
			if name == "a" && strings.HasPrefix(r.URL.Path, "/x/") {
				waitFor()
			}
			_, _ = io.WriteString(w, "whole")
			return
		}
		w.Header().Set("Content-Type", typeEvents)
		if name == "a" && !inStream {
			waitFor()
		}
		last, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
		for n := last + 1; n <= 3; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			w.(http.Flusher).Flush()
			if name == "a" && n == 1 && inStream {
				waitFor()
			}
		}
	}))
	u.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// change applies a change.
func (u *underWay) change(tables []*routes.Table) {
	for _, next := range tables {
		u.table.Store(next)
	}
}

func newUnderWay(t *testing.T, kind routes.Route) *underWay {
	t.Helper()
	u := &underWay{t: t, g: testGateway(), kind: kind, matched: make(chan struct{}), reached: make(chan struct{}, 1), proceed: make(chan struct{})}
	u.table.Store(configOf(1, &routes.Engine{}, []string{"s"}, underWayRoute(kind)))
	var once sync.Once
	u.g.Table = func() *routes.Table {
		table := u.table.Load()
		once.Do(func() { close(u.matched) })
		return table
	}
	u.g.RetryBudget("s").SetLimit(clock.Now(), 0, 10, 10*time.Second)
	return u
}

func (u *underWay) list(name, address string) {
	u.g.Servers.Put(clock.Now(), server(name, "d", address))
}

// stages are the points at which a request is when the configuration changes. Each brings the request under way, lets
// the configuration change and the request go on.
var stages = map[string]struct {
	// breaks is set if the first server breaks the connection after the change.
	breaks bool
	run    func(u *underWay, conn net.Conn, change func())
}{
	"waits for a server": {false, func(u *underWay, conn net.Conn, change func()) {
		sendUnderWay(u.t, conn, "whole body")
		<-u.matched
		change()
		u.list("b", u.serve("b", false))
	}},
	"waits for capacity": {false, func(u *underWay, conn net.Conn, change func()) {
		u.list("b", u.serve("b", false))
		full := u.g.Balancer.Begin(clock.Now(), pick.Choice{Server: server("b", "d", ""), PrefillTime: 24 * time.Hour}, pick.Work{Model: "m"}, 0)
		sendUnderWay(u.t, conn, "whole body")
		for u.g.Meter.CounterValue("pass.held") == 0 {
			time.Sleep(time.Millisecond)
		}
		change()
		full.End(clock.Now(), pick.Neutral)
	}},
	"sends its body": {false, func(u *underWay, conn net.Conn, change func()) {
		u.list("b", u.serve("b", false))
		sendUnderWay(u.t, conn, "half")
		<-u.matched
		change()
		_, err := io.WriteString(conn, " of it")
		require.NoError(u.t, err)
	}},
	"sent, unanswered":                   {false, heldAt(false)},
	"its stream has begun":               {false, heldAt(true)},
	"sent, its server breaks":            {true, heldAt(false)},
	"its stream has begun, it is broken": {true, heldAt(true)},
}

func heldAt(inStream bool) func(u *underWay, conn net.Conn, change func()) {
	return func(u *underWay, conn net.Conn, change func()) {
		u.list("a", u.serve("a", inStream))
		sendUnderWay(u.t, conn, "whole body")
		<-u.reached
		u.list("b", u.serve("b", inStream))
		change()
		close(u.proceed)
	}
}

// sendUnderWay sends a request with a body of ten bytes, of which body may be the first.
func sendUnderWay(t *testing.T, conn net.Conn, body string) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST /x/y/1 HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nModel: m\r\nContent-Length: 10\r\n\r\n%s", body)
	require.NoError(t, err)
}

// wholeAnswer returns the answer that a request must get.
func (u *underWay) wholeAnswer(breaks, begun bool) callerView {
	switch {
	case breaks && !u.kind.Repeatable() && begun:
		return callerView{status: http.StatusOK, broken: true}
	case breaks && !u.kind.Repeatable():
		return callerView{status: http.StatusBadGateway}
	case u.kind.Kind == routes.Stream:
		return callerView{status: http.StatusOK, body: "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"}
	}
	return callerView{status: http.StatusOK, body: "whole"}
}

// Guards against a configuration that ends a request under way, or the kept connection that it came over, without the
// answer that the configuration at its arrival promised. Only a request whose own server broke off and that may not
// be repeated gets another one.
func TestConfigChangeLeavesRequestsUnderWay(t *testing.T) {
	for changeName, tables := range configChanges {
		for stageName, stage := range stages {
			for kindName, kind := range configKinds {
				inStream := strings.HasPrefix(stageName, "its stream")
				if inStream && kind.Kind != routes.Stream {
					continue
				}
				t.Run(changeName+"/"+stageName+"/"+kindName, func(t *testing.T) {
					t.Parallel()
					u := newUnderWay(t, kind)
					u.breaks = stage.breaks
					s := serveGateway(t, u.g)
					conn, err := net.Dial("tcp", s.Listener.Addr().String())
					require.NoError(t, err)
					t.Cleanup(func() { _ = conn.Close() })
					stage.run(u, conn, func() { u.change(tables(underWayRoute(kind))) })
					reader := bufio.NewReader(conn)
					want := u.wholeAnswer(stage.breaks, inStream)
					requireAnswer(t, reader, want)
					if want.broken {
						return
					}
					u.table.Store(configOf(101, &routes.Engine{}, []string{"s"}))
					_, err = io.WriteString(conn, "GET /kept/ HTTP/1.1\r\nHost: h\r\nAttempt: a2\r\nModel: m\r\n\r\n")
					require.NoError(t, err)
					requireAnswer(t, reader, callerView{status: http.StatusOK, body: "whole"})
					_, err = io.WriteString(conn, "GET /x/ HTTP/1.1\r\nHost: h\r\nAttempt: a3\r\nModel: m\r\n\r\n")
					require.NoError(t, err)
					requireAnswer(t, reader, callerView{status: http.StatusNotFound})
				})
			}
		}
	}
}

// requireAnswer reads one answer, and requires its status, whether it is broken, and its body if there is one.
func requireAnswer(t *testing.T, reader *bufio.Reader, want callerView) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	got := readCallerView(resp)
	require.Equal(t, want.status, got.status)
	require.Equal(t, want.broken, got.broken, got.body)
	if want.body != "" {
		require.Equal(t, want.body, got.body)
	}
}

// Guards against a request whose body came slowly and that is answered only when its route's timeout has passed again
// after that.
func TestTimeoutRunsWhileBodyArrives(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(silent.Close)
	u := newUnderWay(t, configKinds["idempotent"])
	u.list("a", strings.TrimPrefix(silent.URL, "http://"))
	// While the body arrives, nearly the whole timeout of an hour passes on the VM's clock.
	var passed atomic.Int64
	u.g.Now = func() time.Time { return clock.Now().Add(time.Duration(passed.Load())) }
	conn, err := net.Dial("tcp", serveGateway(t, u.g).Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	sendUnderWay(t, conn, "half")
	<-u.matched
	passed.Store(int64(underWayRoute(u.kind).Timeout - 200*time.Millisecond))
	_, err = io.WriteString(conn, " of it")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(15*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "no answer")
	// 503 if the machine is so busy that the rest has passed before the send.
	require.Contains(t, []int{http.StatusGatewayTimeout, http.StatusServiceUnavailable}, resp.StatusCode)
}

// teamTable returns a configuration with one team, its key or none, and its quota or none.
func teamTable(t *testing.T, version int, keys []string, quota routes.Quota) *routes.Table {
	t.Helper()
	return withTeams(t, version, routes.Team{Name: "a", Keys: keys, Quota: quota})
}

// Guards against a request that waits for its team's tokens, or for what began its stream, and that a configuration
// leaves without an answer. What the configuration in force says of its key decides.
func TestConfigChangeWhileQuotaIsAwaited(t *testing.T) {
	quota := routes.Quota{Unit: routes.UnitToken, PerSecond: 1, Burst: 30}
	lowered := routes.Quota{Unit: routes.UnitToken, PerSecond: 0.001, Burst: 1}
	for name, tc := range map[string]struct {
		next    *routes.Table
		granted bool
		status  int
	}{
		"no teams any more":         {configOf(2, &routes.Engine{}, []string{"s"}), true, http.StatusOK},
		"no teams, not granted":     {configOf(2, &routes.Engine{}, []string{"s"}), false, http.StatusTooManyRequests},
		"quota taken away":          {teamTable(t, 2, []string{testKey}, routes.Quota{}), true, http.StatusOK},
		"quota lowered":             {teamTable(t, 2, []string{testKey}, lowered), true, http.StatusOK},
		"quota lowered, no tokens":  {teamTable(t, 2, []string{testKey}, lowered), false, http.StatusTooManyRequests},
		"key removed":               {teamTable(t, 2, nil, quota), true, http.StatusUnauthorized},
		"key removed, not granted":  {teamTable(t, 2, nil, quota), false, http.StatusTooManyRequests},
		"team removed, other teams": {withTeams(t, 2, routes.Team{Name: "b"}), true, http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			g, quotas := quotaGateway(t, startBackend(t, http.StatusOK))
			var table atomic.Pointer[routes.Table]
			table.Store(g.Table())
			g.Table = table.Load
			g.TakeQuota = func(context.Context, limit.QuotaRequest) (time.Duration, bool) {
				table.Store(tc.next)
				var list []limit.Quota
				for _, team := range tc.next.Teams() {
					if team.Quota.Limited() {
						list = append(list, limit.Quota{Team: team.Name, PerSecond: team.Quota.PerSecond, Burst: team.Quota.Burst})
					}
				}
				quotas.Configure(clock.Now(), limit.QuotaRules{}, list)
				return 0, tc.granted
			}
			require.Equal(t, tc.status, sendWithKey(g, testKey).Code)
		})
	}
}

// Guards against a stream that its caller takes up and that a configuration leaves without an answer while the VM asks
// where it began.
func TestConfigChangeWhileOriginIsAwaited(t *testing.T) {
	began := map[string]string{"its service": "s", "another service": "t"}
	for name, tables := range configChanges {
		for where, service := range began {
			t.Run(name+"/"+where, func(t *testing.T) {
				t.Parallel()
				u := newUnderWay(t, configKinds["resumable stream"])
				u.list("b", u.serve("b", false))
				u.g.FindOrigin = func(context.Context, string) (origin.Record, origin.Verdict) {
					u.change(tables(underWayRoute(u.kind)))
					return origin.Record{Service: service, Version: "v1"}, origin.Known
				}
				r := httptest.NewRequest(http.MethodPost, "http://h/x/y/1", strings.NewReader("body"))
				for header, value := range map[string]string{"Attempt": "a2", "Model": "m", "Begun-As": "a1", headerLastEvent: "1"} {
					r.Header.Set(header, value)
				}
				w := httptest.NewRecorder()
				u.g.ServeHTTP(w, r)
				if service == "s" {
					require.Equal(t, http.StatusOK, w.Code)
					require.Equal(t, "id: 2\ndata: x\n\nid: 3\ndata: x\n\n", w.Body.String())
					return
				}
				require.Equal(t, http.StatusServiceUnavailable, w.Code)
			})
		}
	}
}
