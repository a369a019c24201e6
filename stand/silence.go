package stand

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetSilent makes the kernel drop all packets that arrive for a TCP connection or listener, so that they are neither
// acknowledged nor delivered, or ends that. What the other end sends meanwhile its kernel sends again.
func SetSilent(c syscall.Conn, silent bool) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("get raw connection: %w", err)
	}
	var optErr error
	err = raw.Control(func(fd uintptr) { optErr = setFilter(int(fd), silent) })
	if err := errors.Join(err, optErr); err != nil {
		return fmt.Errorf("set socket filter: %w", err)
	}
	return nil
}

func setFilter(fd int, silent bool) error {
	if silent {
		dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	}
	err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	if errors.Is(err, unix.ENOENT) {
		return nil // It was not silent.
	}
	return err
}

// SilentListener is a TCP listener whose host can fall silent and go on. It is safe for concurrent use.
type SilentListener struct {
	*net.TCPListener

	mu     sync.Mutex
	silent bool
	conns  []*net.TCPConn
}

// ListenSilent listens at a TCP address.
func ListenSilent(ctx context.Context, address string) (*SilentListener, error) {
	var config net.ListenConfig
	// Sockets of Multipath TCP take no filter.
	config.SetMultipathTCP(false)
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &SilentListener{TCPListener: l.(*net.TCPListener)}, nil
}

// SetSilent makes the listener and all connections that it has accepted silent, or ends that.
func (l *SilentListener) SetSilent(silent bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	return errors.Join(SetSilent(l.TCPListener, silent), l.setConnsSilent())
}

// setConnsSilent makes the connections as silent as the listener is, and forgets those that were closed. l.mu is held.
func (l *SilentListener) setConnsSilent() (err error) {
	l.conns = slices.DeleteFunc(l.conns, func(c *net.TCPConn) bool {
		connErr := SetSilent(c, l.silent)
		if errors.Is(connErr, net.ErrClosed) {
			return true
		}
		err = errors.Join(err, connErr)
		return false
	})
	return err
}

// forgetInterval is the number of connections after which closed ones are forgotten.
const forgetInterval = 1024

// Accept implements net.Listener.
func (l *SilentListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	if l.silent || len(l.conns)%forgetInterval == 0 {
		// A connection inherits the filter that its listener had when it was opened, which may have been none.
		if err := l.setConnsSilent(); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

const (
	// minSilence and maxSilence bound how long a sound server is silent by itself.
	minSilence = time.Second
	maxSilence = 1500 * time.Millisecond
)

// silences are the silences of a sound server that begin by themselves.
type silences struct {
	interval    time.Duration
	random      *rand.Rand
	from, until time.Time
	// count is the number of silences that have begun.
	count int
}

// SetSilences makes the server silent by itself, for one to one and a half seconds, in intervals of which random decides,
// on average the given one; 0 ends that. It keeps its requests, sends neither a head nor an event meanwhile, and goes on.
func (b *Backend) SetSilences(interval time.Duration, random *rand.Rand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silences = silences{interval: interval, random: random, count: b.silences.count}
}

// Silences returns how many silences have begun by themselves.
func (b *Backend) Silences() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silences.count
}

// rest returns how much longer the server is silent.
func (s *silences) rest(now time.Time) time.Duration {
	switch {
	case s.interval == 0:
		return 0
	case s.from.IsZero():
		s.plan(now)
	case !now.Before(s.from):
		// It begins with a request, so that it concerns one.
		s.until = now.Add(minSilence + time.Duration(s.random.Int64N(int64(maxSilence-minSilence))))
		s.count++
		s.plan(s.until)
	}
	return max(0, s.until.Sub(now))
}

// plan chooses when the next silence begins, after a time.
func (s *silences) plan(after time.Time) {
	s.from = after.Add(time.Duration(s.random.Int64N(2 * int64(s.interval))))
}
