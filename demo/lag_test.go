package demo_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxLag is half of the time after which a request counts that arrives although its server asked for rest.
	maxLag = 250 * time.Millisecond
	// lagInterval is the interval between measurements of the lag.
	lagInterval = 20 * time.Millisecond
)

// lagMeter measures how long a byte takes over a new connection within this process. A VM that reads
// responses as late as that can not heed them in time.
type lagMeter struct {
	mu sync.Mutex
	// slow holds the measurements that took longer than maxLag, and longest is the time of the longest one.
	slow    []lag
	longest time.Duration
}

// lag is a measurement that took long.
type lag struct{ from, to time.Time }

// startLagMeter measures until the test ends.
func startLagMeter(t *testing.T) *lagMeter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	m := &lagMeter{}
	var running sync.WaitGroup
	running.Go(func() { echoBytes(listener) })
	running.Go(func() {
		for {
			from := time.Now()
			exchangeByte(listener.Addr().String())
			m.record(lag{from: from, to: time.Now()})
			select {
			case <-done:
				return
			case <-time.After(lagInterval):
			}
		}
	})
	t.Cleanup(func() {
		close(done)
		_ = listener.Close()
		running.Wait()
	})
	return m
}

func (m *lagMeter) record(l lag) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longest = max(m.longest, l.to.Sub(l.from))
	if l.to.Sub(l.from) > maxLag {
		m.slow = append(m.slow, l)
	}
}

// longestLag returns the longest measurement so far.
func (m *lagMeter) longestLag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longest
}

// overlaps is a stand.Excuse: it reports whether a measurement between two times took long.
func (m *lagMeter) overlaps(_ string, from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.slow {
		if l.from.Before(to) && l.to.After(from) {
			return true
		}
	}
	return false
}

// echoBytes sends the first byte of each connection back.
func echoBytes(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			var b [1]byte
			if _, err := conn.Read(b[:]); err == nil {
				_, _ = conn.Write(b[:])
			}
			_ = conn.Close()
		}()
	}
}

// exchangeByte sends a byte to an echo and waits for it. An error ends the wait.
func exchangeByte(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	b := [1]byte{1}
	if _, err := conn.Write(b[:]); err == nil {
		_, _ = conn.Read(b[:])
	}
	_ = conn.Close()
}

// Guards against an excuse for VMs that were not slow.
func TestLagMeterExcusesSlowTimesOnly(t *testing.T) {
	m := &lagMeter{}
	start := time.Unix(1000, 0)
	at := start.Add
	m.record(lag{from: at(0), to: at(maxLag)})
	require.False(t, m.overlaps("", at(-time.Hour), at(time.Hour)))
	m.record(lag{from: at(time.Second), to: at(time.Second + 2*maxLag)})
	require.True(t, m.overlaps("", at(0), at(2*time.Second)))
	require.True(t, m.overlaps("", at(time.Second+maxLag), at(time.Minute)))
	require.False(t, m.overlaps("", at(0), at(time.Second)))
	require.False(t, m.overlaps("", at(2*time.Second), at(time.Minute)))
}
