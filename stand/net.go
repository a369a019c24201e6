package stand

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network simulates the network between named hosts of one process. A partition
// drops all data in one direction, as a broken switch does. A connection that
// lost data fails after the partition heals. The zero value has no partitions.
type Network struct {
	mu          sync.Mutex
	hosts       map[string]string
	partitions  map[[2]string]bool
	oneWayDelay func(from, to string) time.Duration
}

// SetDelay sets the one-way delay between hosts. Each dial takes one round trip.
func (n *Network) SetDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.oneWayDelay = delay
}

// SetHost assigns an address to a host.
func (n *Network) SetHost(address, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = make(map[string]string)
	}
	n.hosts[address] = host
}

// Partition drops the data from one host to another. The reverse direction is a
// separate partition.
func (n *Network) Partition(from, to string) { n.setPartition(from, to, true) }

// Heal ends the partition in one direction.
func (n *Network) Heal(from, to string) { n.setPartition(from, to, false) }

func (n *Network) setPartition(from, to string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions == nil {
		n.partitions = make(map[[2]string]bool)
	}
	n.partitions[[2]string{from, to}] = partitioned
}

func (n *Network) partitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[[2]string{from, to}]
}

func (n *Network) host(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

func (n *Network) delayBetween(from, to string) time.Duration {
	n.mu.Lock()
	delay := n.oneWayDelay
	n.mu.Unlock()
	if delay == nil {
		return 0
	}
	return delay(from, to)
}

// Dialer returns the dial function for connections from a host.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := n.host(address)
		if n.partitioned(from, to) || n.partitioned(to, from) {
			return nil, n.failDial(ctx)
		}
		if wait := 2 * n.delayBetween(from, to); wait > 0 {
			time.Sleep(wait)
		}
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, net: n, from: from, to: to}, nil
	}
}

const partitionedDialTimeout = time.Second

func (n *Network) failDial(ctx context.Context) error {
	t := time.NewTimer(partitionedDialTimeout)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("timeout: hosts are partitioned")}
}

// partitionedConn is a connection that drops data during a partition of the Network.
type partitionedConn struct {
	net.Conn
	net      *Network
	from, to string

	mu       sync.Mutex
	dataLost bool
}

var errDataLost = errors.New("connection lost data in a network partition")

// recordLoss records a loss if lost is true, and reports whether data was ever lost.
func (c *partitionedConn) recordLoss(lost bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dataLost = c.dataLost || lost
	return c.dataLost
}

// Write drops the data while the hosts are partitioned.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.net.partitioned(c.from, c.to) {
		c.recordLoss(true)
		return len(p), nil
	}
	if c.recordLoss(false) {
		_ = c.Close()
		return 0, errDataLost
	}
	return c.Conn.Write(p)
}

// Read drops data that arrives while the hosts are partitioned.
func (c *partitionedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if c.net.partitioned(c.to, c.from) {
			c.recordLoss(true)
			continue
		}
		if c.recordLoss(false) {
			_ = c.Close()
			return 0, errDataLost
		}
		return n, nil
	}
}
