package soak

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// maxNetworkVMs bounds the VMs between which there is a network of proxies. VMs know each other by other addresses
// then, and more of them would choose different keepers for one attempt.
const maxNetworkVMs = 3

// linkFault is what happens to the exchange of one VM with the others, over links and by datagrams.
type linkFault string

// Faults of links. Held ones deliver all at their end, cut ones lose datagrams.
const (
	linksSound   linkFault = "links_sound"
	linksHeld    linkFault = "links_held"
	linksHeldIn  linkFault = "links_held_in"
	linksHeldOut linkFault = "links_held_out"
	linksCut     linkFault = "links_cut"
	linksCutIn   linkFault = "links_cut_in"
	linksCutOut  linkFault = "links_cut_out"
	// datagramsLost loses the datagrams of both directions, and leaves the links.
	datagramsLost linkFault = "datagrams_lost"
)

var linkFaults = []linkFault{linksSound, linksSound, linksHeld, linksHeldIn, linksHeldOut, linksCut, linksCutIn, linksCutOut, datagramsLost}

// in and out report which directions a fault affects, as seen from the VM; cut whether datagrams are lost.
func (f linkFault) in() bool  { return f != linksSound && f != linksHeldOut && f != linksCutOut }
func (f linkFault) out() bool { return f != linksSound && f != linksHeldIn && f != linksCutIn }
func (f linkFault) cut() bool {
	return f == linksCut || f == linksCutIn || f == linksCutOut || f == datagramsLost
}

// network has a proxy for each VM in front of each other one, for links and datagrams. What a VM reads from the store
// and from the others names these proxies in place of the VMs.
type network struct {
	ways map[[2]int]*peerWay
}

// peerWay is the way from one VM to another one.
type peerWay struct {
	*Proxy
	datagrams *datagramProxy
}

func newNetwork(vms []*vm) (*network, error) {
	n := &network{ways: make(map[[2]int]*peerWay)}
	for i := range vms {
		names := &aliases{}
		for k, to := range vms {
			if k == i {
				continue
			}
			p, err := NewProxy(to.peerAddress)
			if err != nil {
				return nil, err
			}
			p.aliases = names
			n.ways[[2]int{i, k}] = &peerWay{Proxy: p}
			if n.ways[[2]int{i, k}].datagrams, err = newDatagramProxy(p.Address(), to.peerAddress); err != nil {
				return nil, err
			}
			if len(p.Address()) != len(to.peerAddress) {
				return nil, fmt.Errorf("address %s in place of %s is of another length", p.Address(), to.peerAddress)
			}
			names.pairs = append(names.pairs, [2][]byte{[]byte(to.peerAddress), []byte(p.Address())})
		}
		vms[i].storeProxy.aliases = names
	}
	return n, nil
}

// set begins or ends a fault of what a VM exchanges with the others.
func (n *network) set(vm int, f linkFault, begin bool) {
	if n == nil {
		return
	}
	for way, w := range n.ways {
		if way[0] != vm && way[1] != vm {
			continue
		}
		requests, responses := f.out(), f.in()
		if way[1] == vm {
			requests, responses = responses, requests
		}
		requests, responses = requests && begin, responses && begin
		w.datagrams.set(requests, responses, f.cut())
		switch {
		case f == datagramsLost:
		case requests && responses:
			w.SetMode(Stall)
		case requests:
			w.SetMode(StallRequests)
		case responses:
			w.SetMode(StallResponses)
		default:
			w.SetMode(Forward)
		}
	}
}

func (n *network) close() {
	if n == nil {
		return
	}
	for _, w := range n.ways {
		w.Close()
		w.datagrams.close()
	}
}

// aliases replaces texts by others of the same length. Nil replaces nothing.
type aliases struct {
	pairs [][2][]byte
}

// minAliasStart is how much of a text at the end of the bytes that were read makes it likely that the rest follows.
const minAliasStart = 6

// replace replaces the texts in data, and returns how many bytes at the end may be the beginning of one.
func (a *aliases) replace(data []byte) (kept int) {
	if a == nil {
		return 0
	}
	for _, pair := range a.pairs {
		for at := 0; ; {
			next := bytes.Index(data[at:], pair[0])
			if next < 0 {
				break
			}
			at += next + copy(data[at+next:], pair[1])
		}
		for n := min(len(pair[0])-1, len(data)); n >= minAliasStart && n > kept; n-- {
			if bytes.HasSuffix(data, pair[0][:n]) {
				kept = n
			}
		}
	}
	return kept
}

// datagramProxy forwards datagrams between one client and a target.
type datagramProxy struct {
	front, back net.PacketConn
	target      net.Addr

	mu     sync.Mutex
	client net.Addr
	// requests and responses are set while a direction is held, or loses its datagrams if cut is set.
	requests, responses, cut bool
}

const maxDatagramBytes = 2048

func newDatagramProxy(address, target string) (*datagramProxy, error) {
	d := &datagramProxy{}
	var err error
	if d.front, err = net.ListenPacket("udp4", address); err != nil {
		return nil, fmt.Errorf("proxy datagrams: %w", err)
	}
	if d.back, err = net.ListenPacket("udp4", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("proxy datagrams: %w", err)
	}
	if d.target, err = net.ResolveUDPAddr("udp4", target); err != nil {
		return nil, fmt.Errorf("proxy datagrams: %w", err)
	}
	go d.copy(d.front, func(from net.Addr, data []byte) {
		d.mu.Lock()
		d.client = from
		d.mu.Unlock()
		_, _ = d.back.WriteTo(data, d.target)
	}, false)
	go d.copy(d.back, func(_ net.Addr, data []byte) {
		d.mu.Lock()
		client := d.client
		d.mu.Unlock()
		_, _ = d.front.WriteTo(data, client)
	}, true)
	return d, nil
}

// copy forwards the datagrams of one direction until its socket is closed.
func (d *datagramProxy) copy(from net.PacketConn, forward func(from net.Addr, data []byte), response bool) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := from.ReadFrom(buffer)
		if err != nil {
			return
		}
		for {
			d.mu.Lock()
			blocked := response && d.responses || !response && d.requests
			cut := d.cut
			d.mu.Unlock()
			if !blocked {
				forward(sender, buffer[:n])
			}
			if !blocked || cut {
				break
			}
			// What follows waits in the socket's buffer.
			time.Sleep(modePollInterval)
		}
	}
}

func (d *datagramProxy) set(requests, responses, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests, d.responses, d.cut = requests, responses, cut
}

func (d *datagramProxy) close() {
	_ = d.front.Close()
	_ = d.back.Close()
}
