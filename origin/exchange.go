package origin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/meter"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// askInterval is the time after which keepers that have not answered are asked again. VMs are some
	// milliseconds apart, and a VM with an eighth of a core answers within some more. Each further time doubles up to
	// maxAskInterval: where links are slow, more questions change nothing.
	askInterval    = 60 * time.Millisecond
	maxAskInterval = 480 * time.Millisecond
	// askTimeout bounds the wait for an answer.
	askTimeout = 2 * time.Second
	// startGrace is how long after its start a VM may know no keepers yet: it waits for them, as its callers
	// may have come back to it after a restart. keepersCheckInterval is the interval between looks.
	startGrace           = 1500 * time.Millisecond
	keepersCheckInterval = 20 * time.Millisecond
	// socketErrorPause is the pause after a failed read of the socket.
	socketErrorPause = 10 * time.Millisecond
)

// Verdict is what the keepers say about an attempt.
type Verdict int

const (
	// Unanswered means that no keeper knows the attempt, and not all have answered.
	Unanswered Verdict = iota
	// Known means that a keeper knows the attempt.
	Known
	// Unknown means that all keepers have answered, and none knows the attempt.
	Unknown
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	return map[Verdict]string{Unanswered: "unanswered", Known: "known", Unknown: "unknown"}[v]
}

// Exchange keeps origins for this VM and others, and asks others for them. All fields must be set.
type Exchange struct {
	// Address is the one of this VM in the list of keepers, Domain its failure domain.
	Address, Domain string
	// Keepers returns the VMs that keep origins. Key returns the fleet's key, empty if it is not known yet, and
	// AcceptedKeys those with which datagrams of others may be sealed.
	Keepers      func(now time.Time) []Keeper
	Key          func() string
	AcceptedKeys func() []string
	Now          func() time.Time
	Log          zerolog.Logger
	Meter        *meter.Registry

	store Store

	mu   sync.Mutex
	conn net.PacketConn
	// listensSince is when the socket was opened.
	listensSince time.Time
	resolved     map[string]net.Addr
	lastCall     int
	// questions holds the questions that wait for answers, by call.
	questions map[int]question
}

// question is a question to keepers. Calls are numbered anew by each process of a VM, so that a late answer may
// bear the number of a question about another attempt.
type question struct {
	attempt string
	answers chan answer
}

// answer is the answer of one keeper.
type answer struct {
	from   string
	known  bool
	record Record
}

// Listen opens the socket at the address of this VM, whose port may be 0 for any.
func (x *Exchange) Listen() error {
	conn, err := net.ListenPacket("udp4", x.Address)
	if err != nil {
		return fmt.Errorf("listen for origins: %w", err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.listensSince = conn, x.Now()
	x.Address = conn.LocalAddr().String()
	return nil
}

// Close closes the socket, which ends Serve.
func (x *Exchange) Close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// Serve handles the datagrams of other VMs until Close.
func (x *Exchange) Serve() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := x.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			x.Meter.AddCounter("origin.socket_errors", 1)
			time.Sleep(socketErrorPause)
			continue
		}
		frame, key, err := open(x.AcceptedKeys(), buffer[:n])
		if err != nil {
			x.Meter.AddCounter("origin.rejected", 1)
			x.Log.Debug().Str("from", from.String()).Err(err).Msg("datagram rejected")
			continue
		}
		x.Meter.AddCounter("origin.received", 1)
		x.Meter.AddCounter("origin.bytes_received", int64(n))
		x.handle(from, frame, key)
	}
}

// handle handles a datagram that was sealed with a key.
func (x *Exchange) handle(from net.Addr, frame *wire.OriginDatagram, key string) {
	switch frame.Kind {
	case wire.OriginDatagramKindTell:
		x.store.Put(x.Now(), frame.Attempt, Record{Service: frame.Service, Version: frame.Version})
	case wire.OriginDatagramKindAsk:
		r, known := x.store.Get(x.Now(), frame.Attempt)
		// A VM that is cut off from the store may not know the key of the present term.
		x.send(from, key, &wire.OriginDatagram{
			Kind: wire.OriginDatagramKindAnswer, Attempt: frame.Attempt, Call: frame.Call,
			Known: known, Service: r.Service, Version: r.Version,
		})
	case wire.OriginDatagramKindAnswer:
		x.mu.Lock()
		q := x.questions[frame.Call]
		x.mu.Unlock()
		if q.attempt != frame.Attempt {
			return
		}
		select {
		case q.answers <- answer{from.String(), frame.Known, Record{Service: frame.Service, Version: frame.Version}}:
		default:
		}
	}
}

// Tell keeps the origin of an attempt and tells its keepers. It does not wait for them.
func (x *Exchange) Tell(attempt string, r Record) {
	now := x.Now()
	x.store.Put(now, attempt, r)
	frame := &wire.OriginDatagram{Kind: wire.OriginDatagramKindTell, Attempt: attempt, Service: r.Service, Version: r.Version}
	for _, address := range x.keepersOf(now, attempt) {
		x.sendTo(address, frame)
	}
}

// Ask returns the origin of an attempt, from this VM's own records or from the keepers.
func (x *Exchange) Ask(ctx context.Context, attempt string) (Record, Verdict) {
	now := x.Now()
	if r, ok := x.store.Get(now, attempt); ok {
		return r, Known
	}
	keepers := x.awaitKeepers(ctx, attempt)
	if len(keepers) == 0 {
		return Record{}, Unanswered
	}
	x.Meter.AddCounter("origin.asked", 1)
	call, answers := x.addQuestion(attempt, len(keepers))
	defer x.removeQuestion(call)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	frame := &wire.OriginDatagram{Kind: wire.OriginDatagramKindAsk, Attempt: attempt, Call: call}
	silent := make(map[string]bool, len(keepers))
	for _, address := range keepers {
		silent[address] = true
	}
	for interval := askInterval; ; interval = min(2*interval, maxAskInterval) {
		for address := range silent {
			x.sendTo(address, frame)
		}
		if r, verdict := await(ctx, answers, silent, interval); verdict != Unanswered || ctx.Err() != nil {
			return r, verdict
		}
	}
}

// await waits for answers until one keeper knows the attempt, all have answered, or it is time to ask again. It
// removes the keepers that answer from silent.
func await(ctx context.Context, answers <-chan answer, silent map[string]bool, interval time.Duration) (Record, Verdict) {
	again := time.NewTimer(interval)
	defer again.Stop()
	for len(silent) > 0 {
		select {
		case a := <-answers:
			if a.known {
				return a.record, Known
			}
			delete(silent, a.from)
		case <-again.C:
			return Record{}, Unanswered
		case <-ctx.Done():
			return Record{}, Unanswered
		}
	}
	return Record{}, Unknown
}

// Kept returns how many origins this VM keeps.
func (x *Exchange) Kept() int { return x.store.Len() }

// awaitKeepers returns the keepers of an attempt. A VM that has just started waits until it knows some.
func (x *Exchange) awaitKeepers(ctx context.Context, attempt string) []string {
	for {
		now := x.Now()
		if keepers := x.keepersOf(now, attempt); len(keepers) > 0 || ctx.Err() != nil || !x.justStarted(now) {
			return keepers
		}
		pause.For(ctx, keepersCheckInterval)
	}
}

func (x *Exchange) justStarted(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now.Sub(x.listensSince) < startGrace
}

func (x *Exchange) keepersOf(now time.Time, attempt string) []string {
	if x.Key() == "" {
		return nil
	}
	return KeepersOf(attempt, x.Keepers(now), x.Domain, x.Address)
}

func (x *Exchange) addQuestion(attempt string, keepers int) (call int, answers chan answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.questions == nil {
		x.questions = make(map[int]question)
	}
	x.lastCall++
	// Each keeper may answer every time that it is asked.
	answers = make(chan answer, keepers*int(1+askTimeout/askInterval))
	x.questions[x.lastCall] = question{attempt, answers}
	return x.lastCall, answers
}

func (x *Exchange) removeQuestion(call int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.questions, call)
}

func (x *Exchange) sendTo(address string, frame *wire.OriginDatagram) {
	to, err := x.resolve(address)
	if err != nil {
		x.Log.Error().Str("address", address).Err(err).Msg("address of a keeper is invalid")
		return
	}
	x.send(to, x.Key(), frame)
}

// send sends a datagram, sealed with a key. One that is lost has no consequence: there are other keepers, and questions are asked
// again.
func (x *Exchange) send(to net.Addr, key string, frame *wire.OriginDatagram) {
	datagram, err := seal(key, frame)
	if err != nil {
		x.Log.Error().Err(err).Msg("datagram not sent")
		return
	}
	x.mu.Lock()
	conn := x.conn
	x.mu.Unlock()
	if conn == nil {
		return
	}
	if _, err := conn.WriteTo(datagram, to); err != nil {
		x.Meter.AddCounter("origin.socket_errors", 1)
		return
	}
	x.Meter.AddCounter("origin.sent", 1)
	x.Meter.AddCounter("origin.bytes_sent", int64(len(datagram)))
}

// resolve returns the parsed form of an address, which is an IP address with a port.
func (x *Exchange) resolve(address string) (net.Addr, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if to := x.resolved[address]; to != nil {
		return to, nil
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("resolve keeper: %w", err)
	}
	if x.resolved == nil || len(x.resolved) >= maxResolved {
		x.resolved = make(map[string]net.Addr)
	}
	x.resolved[address] = to
	return to, nil
}

// maxResolved bounds the parsed addresses that are kept, far above the number of VMs.
const maxResolved = 4096
