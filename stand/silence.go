package stand

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"

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
