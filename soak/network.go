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
	// datagramsLost loses the datagrams of both directions, and leaves the links. connectionsHeld holds these alone.
	datagramsLost   linkFault = "datagrams_lost"
	connectionsHeld linkFault = "connections_held"
	// linksSlow has all that is exchanged take slowLinkTime.
	linksSlow linkFault = "links_slow"
)

// slowLinkTime is how long a frame or datagram takes on a slow link: longer than a VM waits for the answer to a datagram, and
// shorter than it waits for the next frame.
const slowLinkTime = 800 * time.Millisecond

var linkFaults = []linkFault{linksSound, linksSound, linksHeld, linksHeldIn, linksHeldOut, linksCut, linksCutIn, linksCutOut, datagramsLost, connectionsHeld, linksSlow}

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

// setDelay begins or ends that all takes slowLinkTime.
func (w *peerWay) setDelay(begin bool) {
	delay := time.Duration(0)
	if begin {
		delay = slowLinkTime
	}
	w.SetDelay(delay)
	w.datagrams.mu.Lock()
	defer w.datagrams.mu.Unlock()
	w.datagrams.delay = delay
}

// maxPortTries is how many ports are tried for a way. The system gives a port that is free for connections, and another
// process may have it for datagrams.
const maxPortTries = 20

func listenDatagrams(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp4", address)
}

// newPeerWay returns a way whose proxies for connections and datagrams have the same address.
func newPeerWay(listen func(address string) (net.PacketConn, error), target string) (*peerWay, error) {
	var taken error
	for range maxPortTries {
		p, err := NewProxy(target)
		if err != nil {
			return nil, err
		}
		front, err := listen(p.Address())
		if err != nil {
			taken = err
			p.Close()
			continue
		}
		datagrams, err := newDatagramProxy(front, target)
		if err != nil {
			return nil, err
		}
		return &peerWay{Proxy: p, datagrams: datagrams}, nil
	}
	return nil, fmt.Errorf("proxy datagrams: %w", taken)
}

func newNetwork(vms []*vm) (*network, error) {
	n := &network{ways: make(map[[2]int]*peerWay)}
	for i := range vms {
		for k, to := range vms {
			if k == i {
				continue
			}
			way, err := newPeerWay(listenDatagrams, to.peerAddress)
			if err != nil {
				return nil, err
			}
			n.ways[[2]int{i, k}] = way
			if len(way.Address()) != len(to.peerAddress) {
				return nil, fmt.Errorf("address %s in place of %s is of another length", way.Address(), to.peerAddress)
			}
		}
	}
	// view returns the address by which a VM knows one.
	view := func(vm, of int) string {
		if vm == of {
			return vms[of].peerAddress
		}
		return n.ways[[2]int{vm, of}].Address()
	}
	for i, v := range vms {
		names := &aliases{}
		for k := range vms {
			names.add(vms[k].peerAddress, view(i, k))
		}
		v.storeProxy.translate(names, nil)
	}
	for ends, way := range n.ways {
		names, frameNames := &aliases{}, &aliases{}
		for k := range vms {
			names.add(view(ends[1], k), view(ends[0], k))
			frameNames.add(view(ends[0], k), view(ends[1], k))
		}
		way.translate(names, frameNames)
		way.SetDelay(0)
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
		if f == linksSlow {
			w.setDelay(begin)
			continue
		}
		requests, responses := f.out(), f.in()
		if way[1] == vm {
			requests, responses = responses, requests
		}
		requests, responses = requests && begin, responses && begin
		datagrams := f != connectionsHeld
		w.datagrams.set(requests && datagrams, responses && datagrams, f.cut())
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

// add has a text replaced by another one.
func (a *aliases) add(from, to string) {
	a.pairs = append(a.pairs, [2][]byte{[]byte(from), []byte(to)})
}

// replace replaces the texts in data, and returns how many bytes at the end may be the beginning of one.
func (a *aliases) replace(data []byte) (kept int) {
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

// translate has texts replaced in what the target sends, and in the frames of WebSockets that clients send, on
// connections that are opened later.
func (p *Proxy) translate(names, frameNames *aliases) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aliases, p.frameAliases = names, frameNames
}

// rewriter returns a function that returns what is to be forwarded of the bytes read last. It keeps what it needs more of,
// unless they are the last ones.
func (p *Proxy) rewriter(response bool) func(data []byte, last bool) []byte {
	p.mu.Lock()
	names, frameNames := p.aliases, p.frameAliases
	p.mu.Unlock()
	var pending []byte
	frames := frameRewriter{aliases: frameNames}
	switch {
	case !response && frameNames != nil:
		return func(data []byte, _ bool) []byte { return frames.next(data) }
	case response && names != nil:
		return func(data []byte, last bool) []byte {
			data = append(pending, data...)
			kept := names.replace(data)
			if last {
				kept = 0
			}
			pending = bytes.Clone(data[len(data)-kept:])
			return data[:len(data)-kept]
		}
	}
	return func(data []byte, _ bool) []byte { return data }
}

// frameRewriter replaces texts in the masked frames that the client of a WebSocket sends.
type frameRewriter struct {
	aliases *aliases
	pending []byte
	// plain is set for a connection without frames, frames once they begin.
	plain, frames bool
}

// next returns what is to be forwarded once data has come.
func (f *frameRewriter) next(data []byte) (forward []byte) {
	f.pending = append(f.pending, data...)
	if !f.plain && !f.frames {
		head, rest, whole := bytes.Cut(f.pending, []byte("\r\n\r\n"))
		if !whole {
			return nil
		}
		f.frames = bytes.Contains(bytes.ToLower(head), []byte("upgrade: websocket"))
		f.plain = !f.frames
		forward = f.pending[:len(f.pending)-len(rest)]
		f.pending = bytes.Clone(rest)
	}
	if f.plain {
		forward, f.pending = append(forward, f.pending...), nil
		return forward
	}
	for {
		mask, end, whole := frameAt(f.pending)
		if !whole {
			return forward
		}
		payload := f.pending[mask+4 : end]
		key := f.pending[mask : mask+4]
		applyMask(payload, key)
		f.aliases.replace(payload)
		applyMask(payload, key)
		forward, f.pending = append(forward, f.pending[:end]...), bytes.Clone(f.pending[end:])
	}
}

// frameAt returns where the mask of the masked frame at the beginning of data is, where the frame ends, and whether data
// has all of it.
func frameAt(data []byte) (mask, end int, whole bool) {
	if len(data) < 2 {
		return 0, 0, false
	}
	mask, length := 2, int(data[1]&0x7f)
	switch length {
	case 126:
		mask = 4
	case 127:
		mask = 10
	}
	if len(data) < mask {
		return 0, 0, false
	}
	if mask > 2 {
		length = 0
		for _, b := range data[2:mask] {
			length = length<<8 | int(b)
		}
	}
	end = mask + 4 + length
	return mask, end, len(data) >= end
}

func applyMask(payload, key []byte) {
	for i := range payload {
		payload[i] ^= key[i%4]
	}
}

// datagramProxy forwards datagrams between one client and a target.
type datagramProxy struct {
	front, back net.PacketConn
	target      net.Addr

	mu     sync.Mutex
	client net.Addr
	// requests and responses are set while a direction is held, or loses its datagrams if cut is set.
	requests, responses, cut bool
	// delay is how long each takes.
	delay time.Duration
}

const maxDatagramBytes = 2048

func newDatagramProxy(front net.PacketConn, target string) (*datagramProxy, error) {
	d := &datagramProxy{front: front}
	var err error
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
			cut, delay := d.cut, d.delay
			d.mu.Unlock()
			if !blocked {
				data := bytes.Clone(buffer[:n])
				time.AfterFunc(delay, func() { forward(sender, data) })
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
