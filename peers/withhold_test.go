package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/pick"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/steer"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// newControllerOf returns a VM that holds the lease of a fleet that had a number of VMs.
func newControllerOf(t *testing.T, now *time.Time, vms int) *Peers {
	t.Helper()
	var servers []string
	for i := range 200 {
		servers = append(servers, fmt.Sprint("s", i))
	}
	p := newUnlinkedVM(now, servers...)
	p.Lease = &Lease{Name: "vm", Address: "vm:1", Objects: (&stand.ObjectStore{}).Client(), Duration: time.Hour, Now: p.Now, Log: zerolog.Nop()}
	p.Balancer = &pick.Balancer{}
	p.Controller = &steer.Controller{Servers: p.Servers, Now: p.Now}
	for !p.Lease.Held(*now) {
		p.Lease.Step(t.Context())
	}
	p.vms = vms
	return p
}

func (p *Peers) link(t *testing.T, name, boot string, millicores int) *downlink {
	t.Helper()
	d := &downlink{
		vm: name, hello: wire.Hello{Node: name, Boot: boot, Address: name + ":1", FailureDomain: "d", Millicores: millicores},
		frames: make(chan []byte, frameQueue),
	}
	require.NoError(t, p.addLink(d))
	return d
}

// receivedFull reports whether a link has the full state in its queue, or gets it with the next frame.
func receivedFull(t *testing.T, d *downlink) bool {
	t.Helper()
	full := d.overflowed.Load()
	for len(d.frames) > 0 {
		m, err := link.Decode(<-d.frames)
		require.NoError(t, err)
		full = full || m.FleetState != nil && m.FleetState.Full
	}
	return full
}

// All VMs of a fleet link to a new controller at the same moment. It sent the full state of all servers
// to each of them, and each received it again from its relay. Only the VM that becomes the relay gets it
// from the controller, and those that no relay takes.
func TestFullStateIsWithheldFromVMsThatMove(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newControllerOf(t, &now, 300)
	strong := p.link(t, "strong", "1", 800)
	require.True(t, receivedFull(t, strong), "the first VM of a failure domain is its relay")
	var weak []*downlink
	for i := range 30 {
		d := p.link(t, fmt.Sprint("weak-", i), fmt.Sprint(i), 192)
		require.False(t, receivedFull(t, d))
		weak = append(weak, d)
	}
	tell := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tellWithheld(now)
	}
	now = now.Add(time.Second)
	tell()
	require.False(t, receivedFull(t, weak[0]))
	require.Len(t, p.chooseRelays(), 1)
	now = now.Add(time.Second)
	tell()
	require.True(t, receivedFull(t, weak[0]), "no relay has taken the VM")
}

// A VM that has not found its relay links to the controller again, and once more. It must then get the
// full state at once: its requests wait.
func TestFullStateForVMThatReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newControllerOf(t, &now, 300)
	p.link(t, "strong", "1", 800)
	d := p.link(t, "weak", "2", 192)
	require.False(t, receivedFull(t, d))
	p.removeLink(d)
	now = now.Add(2 * time.Second)
	d = p.link(t, "weak", "2", 192)
	require.False(t, receivedFull(t, d), "the relays may have changed")
	p.removeLink(d)
	now = now.Add(2 * time.Second)
	require.True(t, receivedFull(t, p.link(t, "weak", "2", 192)))
	require.False(t, receivedFull(t, p.link(t, "weak", "3", 192)), "a restarted process is told the relays first")
}

// A fleet of dozens of VMs restarts. With 144 servers the state takes the controller no time, and VMs that
// waited for their relay instead served some hundred milliseconds later.
func TestShortStateIsSentAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newControllerOf(t, &now, 87)
	p.link(t, "strong", "1", 800)
	require.True(t, receivedFull(t, p.link(t, "weak", "2", 192)))
}

// In a small fleet all VMs stay linked to the controller.
func TestSmallFleetGetsFullState(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newControllerOf(t, &now, minTreeVMs-1)
	for i := range minTreeVMs - 2 {
		require.True(t, receivedFull(t, p.link(t, fmt.Sprint("vm-", i), "1", 192)))
	}
}
