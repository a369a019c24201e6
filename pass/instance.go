package pass

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
)

// A server may start again under its name and address, as another software version, before its entry says so or while
// this VM can not read it. Requests are addressed to the name, which both processes have. On a connection for a stream
// the server is therefore asked first which instance it is; the answer holds for as long as the connection does.

// InstanceProbe is how a server is asked which of its instances it is.
type InstanceProbe struct {
	// Path is the path of the question, ParseStartTime reads the start time of the instance from the response.
	Path           string
	ParseStartTime func(body []byte) (time.Time, error)
}

const (
	// maxProbeWait bounds the wait for the answer to a probe, which needs no slot of the server.
	maxProbeWait  = 300 * time.Millisecond
	maxProbeBytes = 1 << 20
)

var (
	errOtherInstance = errors.New("another instance of the server answers at its address")
	errNoInstance    = errors.New("the server did not say which instance it is")
)

// checkInstance returns an error unless the process at the other end of a connection is the instance that an entry
// describes. Where no entry tells a start, instances have names of their own.
func (g *Gateway) checkInstance(conn *conns.Conn, e backs.Entry) error {
	if g.InstanceProbe == nil || conn.Identified() || e.StartedAt.IsZero() && !g.Servers.StartsTold() {
		return nil
	}
	g.Meter.AddCounter("pass.instance_probes", 1)
	startedAt, err := g.askInstance(conn, e)
	if err != nil {
		if errors.Is(err, conns.ErrEndless) {
			g.recordEndless(conn, "", e.ID, "", err)
		}
		return fmt.Errorf("%w: %w", errNoInstance, err)
	}
	if !startedAt.Equal(e.StartedAt) {
		g.Servers.MarkEnded(g.Now(), e.ID)
		return errOtherInstance
	}
	conn.MarkIdentified()
	return nil
}

func (g *Gateway) askInstance(conn *conns.Conn, e backs.Entry) (time.Time, error) {
	head := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", g.InstanceProbe.Path, e.Address, g.HeaderNames.ExpectServer, e.PlatformName())
	exchange, err := conn.Send(http.MethodGet, head, nil)
	if err != nil {
		return time.Time{}, err
	}
	conn.SetStallTimeout(maxProbeWait, func(time.Duration) bool { return true })
	defer conn.SetStallTimeout(0, nil)
	resp, err := g.readUnnamed(exchange)
	if err != nil {
		return time.Time{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxProbeWait)
	defer cancel()
	body, err := g.readBuffered(ctx, conn, resp, maxProbeBytes)
	if err != nil {
		return time.Time{}, asEndless(err, maxProbeBytes)
	}
	defer body.Release()
	// Only a body that was read to its end is closed: closing another one would read the rest of it.
	if err := resp.Body.Close(); err != nil {
		return time.Time{}, fmt.Errorf("close response: %w", err)
	}
	if resp.StatusCode != http.StatusOK || resp.Close {
		return time.Time{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	return g.InstanceProbe.ParseStartTime(body.Bytes())
}

// bindsServer reports whether what a server of the call writes has to be of the version that its entry says: that
// of a stream that may be taken up.
func (c *call) bindsServer() bool {
	return c.binding.begun || c.route.Kind == "stream" && c.route.Repeatable()
}

// checkServer checks who answers on the way to the server of a call. On the way through a proxy, the proxy does so.
func (g *Gateway) checkServer(c *call, w way, server backs.Entry) error {
	if w.proxy != "" || !c.bindsServer() {
		return nil
	}
	err := g.checkInstance(w.conn, server)
	if err != nil {
		w.pool.Discard(w.conn)
		c.excluded = append(c.excluded, server.ID)
		if !errors.Is(err, errOtherInstance) && !slices.Contains(c.unreachable, server.ID) {
			c.unreachable, c.notReachedAt = append(c.unreachable, server.ID), g.Now()
		}
	}
	return err
}
