package pass

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/limit"
	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/retry"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// backend starts a server that answers each request with a status and its stamp.
func backend(t *testing.T, status int) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Stamp", "server")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "body")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

var errRefused = errors.New("connection refused")

// testGateway returns a gateway before servers of service "s", which runs models.
// Addresses that begin with "dead" refuse connections.
func testGateway(servers ...backs.Entry) *Gateway {
	view := &backs.View{}
	view.Replace(clock.Now(), servers)
	route := routes.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: routes.Idempotent, Timeout: time.Hour, Attempts: 2,
		Targets: []routes.Target{{Service: "s", Weight: 1}},
	}
	table := routes.NewTable(1, []routes.Route{route}, []routes.Service{{Name: "s", Engine: &routes.Engine{}}}, routes.Limits{})
	budget := &retry.Window{}
	return &Gateway{
		Poison: &poison.Tracker{}, Limits: &limit.Limits{}, Names: testNames, Table: func() *routes.Table { return table }, Servers: view, Book: &pick.Book{Domain: "d"},
		Pool: &conns.Pool{DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
			if strings.HasPrefix(address, "dead") {
				return nil, errRefused
			}
			return conns.Dial(ctx, address)
		}},
		Budget: func(string) *retry.Window { return budget }, Permit: func(context.Context, string) time.Duration { return 0 }, Now: clock.Now, Log: zerolog.Nop(), Meter: meter.New(),
	}
}

func server(id, domain, address string) backs.Entry {
	return backs.Entry{ID: id, Service: "s", Domain: domain, Address: address, Slots: 8, Models: []backs.Held{{Model: "m"}}}
}

func ask(g *Gateway) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	r.Header.Set("Attempt", "a1")
	r.Header.Set("Model", "m")
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

// requireRefused asks and requires a refusal that says when to come back, long before
// the half hour is over for which a request may wait.
func requireRefused(t *testing.T, g *Gateway) *httptest.ResponseRecorder {
	t.Helper()
	done := make(chan *httptest.ResponseRecorder, 1)
	go func() { done <- ask(g) }()
	select {
	case w := <-done:
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		return w
	case <-time.After(time.Minute):
		require.FailNow(t, "the request waits on")
		return nil
	}
}

// The only server that holds a model crashes; the controller loads the model
// elsewhere within seconds. Meanwhile dozens of servers come and go, and each
// change wakes the request. Counted as a round over the servers each, they made it
// give up after a fifth of a second with an hour to go.
func TestRequestsWaitForTheModelOfACrashedServer(t *testing.T) {
	g := testGateway(server("a", "d", "dead:1"))
	address := backend(t, http.StatusOK)
	asked := 0
	g.Find = func(ctx context.Context, _, _, _ string) (string, error) {
		asked++
		if asked < 50 {
			g.Servers.Put(clock.Now(), server("a", "d", "dead:1"))
			return "a", nil
		}
		g.Servers.Put(clock.Now(), server("b", "d", address))
		return "b", nil
	}
	w := ask(g)
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	require.Equal(t, "server", w.Header().Get("Stamp"))
}

// This VM is cut off from another failure domain, whose servers hold the model.
// Its caller is better off with another VM: it is refused at once, and truthfully. It was
// refused after four rounds over the servers, which took 0.2 s.
func TestACutOffVMRefusesAtOnce(t *testing.T) {
	g := testGateway(server("a", "far", "dead:1"), server("b", "far", "dead:2"))
	var tried []string
	g.Doubt = func(server string) { tried = append(tried, server) }
	g.Find = func(ctx context.Context, _, _, _ string) (string, error) {
		<-ctx.Done()
		return "", ctx.Err()
	}
	requireRefused(t, g)
	require.ElementsMatch(t, []string{"a", "b"}, tried)
}

// The two servers that hold a model are in one other failure domain and have crashed, as has
// a fifth of all. Two failed connections made that domain look cut off, and the caller was
// refused at once, while the controller was loading the model. With a third domain that is
// reached, this VM is not the one that is cut off: the request waits.
func TestRequestsWaitWhileAnotherDomainIsReached(t *testing.T) {
	third := backs.Entry{ID: "c", Service: "s", Domain: "third", Address: "dead:3", Slots: 8}
	g := testGateway(server("a", "far", "dead:1"), server("b", "far", "dead:2"), third)
	address := backend(t, http.StatusOK)
	g.Find = func(context.Context, string, string, string) (string, error) {
		g.Servers.Put(clock.Now(), server("d", "third", address))
		return "d", nil
	}
	w := ask(g)
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
}

// A server fails a request that may be repeated, and the retry budget is spent. The
// caller gets the server's failure with its stamp, not a word of our own that
// hides it.
func TestAServersFailureIsPassedOnWhenNothingBetters(t *testing.T) {
	address := backend(t, http.StatusInternalServerError)
	g := testGateway(server("a", "d", address), server("b", "d", address))
	w := ask(g)
	require.Equal(t, http.StatusInternalServerError, w.Code)
	require.Equal(t, "server", w.Header().Get("Stamp"))
	require.Equal(t, "body", w.Body.String())
}

// A VM gets SIGTERM while a request waits for an adapter that no server holds. Its
// caller has an hour, the VM eight seconds: the connection was closed without a word
// when they were over, and the caller could not know whether the request had run.
// It is refused when the VM stops taking requests, and its caller goes elsewhere.
func TestWaitingRequestsAreRefusedWhenTheVMStops(t *testing.T) {
	g := testGateway()
	closing, stop := context.WithCancel(t.Context())
	g.Closing = closing
	g.Find = func(ctx context.Context, _, _, _ string) (string, error) {
		stop()
		<-ctx.Done()
		return "", ctx.Err()
	}
	requireRefused(t, g)
}

// A model has no copy, and its load takes longer than callers wait for the first event of a
// stream, though the whole answer may take an hour. Its caller is refused while it still
// listens, and told to come back when the model is there: held back, it would leave with
// nothing; told to come back at once, it would be refused again. The same holds where the
// servers that are listed with the model have crashed.
func TestStreamsWaitForAServerNoLongerThanTheirCallers(t *testing.T) {
	tests := map[string][]backs.Entry{
		"no copy":        nil,
		"copies crashed": {server("a", "d", "dead:1"), server("b", "far", "dead:2"), {ID: "c", Service: "s", Domain: "third", Slots: 8}},
	}
	for name, servers := range tests {
		t.Run(name, func(t *testing.T) { requireRefusedUntilLoaded(t, testGateway(servers...)) })
	}
}

func requireRefusedUntilLoaded(t *testing.T, g *Gateway) {
	t.Helper()
	const load = 50 * time.Second
	route := routes.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: routes.Stream, Timeout: time.Hour, Leave: 100 * time.Millisecond, Attempts: 1,
		Targets: []routes.Target{{Service: "s", Weight: 1}},
	}
	engine := &routes.Engine{Models: map[string]routes.Model{"m": {Name: "m", Load: load}}}
	table := routes.NewTable(1, []routes.Route{route}, []routes.Service{{Name: "s", Engine: engine}}, routes.Limits{})
	g.Table = func() *routes.Table { return table }
	g.Find = func(ctx context.Context, _, _, _ string) (string, error) {
		<-ctx.Done()
		return "", ctx.Err()
	}
	w := requireRefused(t, g)
	wait, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, wait, (load / 2).Seconds())
}
