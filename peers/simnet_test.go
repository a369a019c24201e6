package peers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// simNetwork connects the VMs of a simulated fleet in memory. Each VM has a network interface with a
// bandwidth, which all of its connections share. It is used inside a synctest bubble, where time passes
// only while all VMs wait: the processor time of the simulation does not delay them.
type simNetwork struct {
	mu        sync.Mutex
	listeners map[string]*simListener
	// cutDomain is the failure domain that is cut off from the others, "" for none.
	cutDomain string
}

// cut cuts a failure domain off from the others, or none if it is "". Connections between them stay open and carry
// nothing more.
func (n *simNetwork) cut(domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutDomain = domain
}

// separated reports whether the VMs at two interfaces are cut off from each other.
func (n *simNetwork) separated(a, b *simInterface) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a.domain != b.domain && n.cutDomain != "" && (a.domain == n.cutDomain || b.domain == n.cutDomain)
}

// simInterface is the network interface of a VM.
type simInterface struct {
	domain string
	// bytesPerSecond is the bandwidth in each direction.
	bytesPerSecond float64

	mu                     sync.Mutex
	sentUntil, receivedBy  time.Time
	sentBytes, receivedAll int64
}

const (
	// simDomainLatency and simFleetLatency are the latencies within a failure domain and between two.
	simDomainLatency = 200 * time.Microsecond
	simFleetLatency  = 900 * time.Microsecond
)

// reserve adds a transfer to a queue that ends at until, and returns when it is complete.
func (i *simInterface) reserve(until *time.Time, now time.Time, bytes int) time.Time {
	if until.Before(now) {
		*until = now
	}
	*until = until.Add(time.Duration(float64(bytes) / i.bytesPerSecond * float64(time.Second)))
	return *until
}

func (i *simInterface) send(now time.Time, bytes int) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sentBytes += int64(bytes)
	return i.reserve(&i.sentUntil, now, bytes)
}

func (i *simInterface) receive(now time.Time, bytes int) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.receivedAll += int64(bytes)
	return i.reserve(&i.receivedBy, now, bytes)
}

// traffic returns the bytes sent and received so far.
func (i *simInterface) traffic() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.sentBytes + i.receivedAll
}

// simListener accepts the connections to one address.
type simListener struct {
	network     *simNetwork
	address     simAddress
	at          *simInterface
	connections chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once
}

type simAddress string

func (a simAddress) Network() string { return "simulated" }
func (a simAddress) String() string  { return string(a) }

func (n *simNetwork) listen(address string, at *simInterface) *simListener {
	l := &simListener{network: n, address: simAddress(address), at: at, connections: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*simListener)
	}
	n.listeners[address] = l
	return l
}

func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *simListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[string(l.address)] == l {
			delete(l.network.listeners, string(l.address))
		}
	})
	return nil
}

func (l *simListener) Addr() net.Addr { return l.address }

var errSimRefused = errors.New("connection refused")

// dial opens a connection from the VM at an interface to an address.
func (n *simNetwork) dial(ctx context.Context, from *simInterface, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil || n.separated(from, l.at) {
		return nil, errSimRefused
	}
	latency := simFleetLatency
	if from.domain == l.at.domain {
		latency = simDomainLatency
	}
	time.Sleep(2 * latency)
	client, server := net.Pipe()
	accepted := newSimConn(n, server, l.at, from, latency)
	var err error
	select {
	case l.connections <- accepted:
		return newSimConn(n, client, from, l.at, latency), nil
	case <-l.closed:
		err = errSimRefused
	case <-ctx.Done():
		err = ctx.Err()
	}
	_ = accepted.Close()
	return nil, err
}

// simQueuedWrites is how many writes a connection buffers.
const simQueuedWrites = 16

// simConn is one end of a connection. A write takes the time for which the bytes occupy both interfaces,
// and arrives after the latency. It ends when its connection is closed, as that of a socket does.
type simConn struct {
	net.Conn
	network       *simNetwork
	local, remote *simInterface
	latency       time.Duration
	queue         chan []byte
	closed        chan struct{}
	closeOnce     sync.Once
}

func newSimConn(n *simNetwork, c net.Conn, local, remote *simInterface, latency time.Duration) *simConn {
	s := &simConn{network: n, Conn: c, local: local, remote: remote, latency: latency, queue: make(chan []byte, simQueuedWrites), closed: make(chan struct{})}
	go s.deliver()
	return s
}

// deliver hands the queued writes to the other end.
func (c *simConn) deliver() {
	for {
		select {
		case data := <-c.queue:
			time.Sleep(c.latency)
			if _, err := c.Conn.Write(data); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *simConn) Write(data []byte) (int, error) {
	now := time.Now()
	sent, received := c.local.send(now, len(data)), c.remote.receive(now, len(data))
	if received.After(sent) {
		sent = received
	}
	done := time.NewTimer(sent.Sub(now))
	defer done.Stop()
	select {
	case <-done.C:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if c.network.separated(c.local, c.remote) {
		return len(data), nil
	}
	select {
	case c.queue <- slices.Clone(data):
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *simConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *simConn) LocalAddr() net.Addr  { return simAddress("local") }
func (c *simConn) RemoteAddr() net.Addr { return simAddress("remote") }

// Guards against a dial that fails and leaves its end of the connection behind, which ends the test of a whole fleet.
func TestSimDialThatFailsLeavesNothing(t *testing.T) {
	tests := map[string]func(l *simListener, giveUp func()){
		"listener closes": func(l *simListener, _ func()) { _ = l.Close() },
		"caller gives up": func(_ *simListener, giveUp func()) { giveUp() },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &simNetwork{}
				l := n.listen("vm", &simInterface{})
				ctx, giveUp := context.WithCancel(context.Background())
				defer giveUp()
				go func() {
					time.Sleep(time.Minute)
					end(l, giveUp)
				}()
				_, err := n.dial(ctx, &simInterface{}, "vm")
				require.Error(t, err)
			})
		})
	}
}

// A connection closes while a write on it takes its time. Guards against a write that goes on as no real one does.
func TestSimWriteEndsWithItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond, writeTime, closesAfter = 1000, time.Minute, time.Second
		end, other := net.Pipe()
		c := newSimConn(&simNetwork{}, end, &simInterface{bytesPerSecond: bytesPerSecond}, &simInterface{bytesPerSecond: bytesPerSecond}, simFleetLatency)
		began := time.Now()
		time.AfterFunc(closesAfter, func() { _ = c.Close() })
		_, err := c.Write(make([]byte, bytesPerSecond*int(writeTime.Seconds())))
		require.ErrorIs(t, err, net.ErrClosed)
		require.Equal(t, closesAfter, time.Since(began))
		require.NoError(t, other.Close())
	})
}

// The write of a frame takes longer than its timeout, and the link is closed. Guards against simulated time that stops, as
// the link waits for a mutex that the end of the write would free.
func TestSimLinkClosesDuringWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const frameBytes, bytesPerSecond, closesAfter = 1000, 100, 3 * time.Second
		network, nic := &simNetwork{}, &simInterface{bytesPerSecond: simWeakBytes}
		hello := func() wire.Hello { return wire.Hello{Protocol: link.Protocol} }
		ctx, stop := context.WithCancel(t.Context())
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: &link.Acceptor{
			Hello: hello, Keys: link.Keys{Peer: idleTestKey}, Serve: func(_ context.Context, c *link.Conn) { _, _ = c.Receive(ctx) },
		}}
		listener := network.listen("hub", nic)
		go func() { _ = server.Serve(listener) }()
		d := &link.Dialer{Hello: hello, Key: idleTestKey, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return network.dial(ctx, nic, "hub")
		}}
		conn, err := d.Dial(ctx, "hub")
		require.NoError(t, err)
		nic.mu.Lock()
		nic.bytesPerSecond = bytesPerSecond
		nic.mu.Unlock()
		time.AfterFunc(closesAfter, conn.Close)
		require.Error(t, conn.SendEncoded(ctx, make([]byte, frameBytes)))
		stop()
		require.NoError(t, server.Close())
		synctest.Wait()
	})
}
