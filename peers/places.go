package peers

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/places"
	"github.com/hibiscuscart/hibiscuscart/spans"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// placeTimeout bounds a call for a place. The objectives of services with few slots are some hundred
	// milliseconds, and the smallest VMs have a tenth of a core: with 10 ms a quarter of the time passed without
	// an owner where servers were overloaded.
	placeTimeout = 30 * time.Millisecond
	// placeBackoff is how long a VM decides without the owner after a call without an answer.
	placeBackoff = 500 * time.Millisecond
	// placeEndDelay is how long the end of a request waits for a call that takes it along.
	placeEndDelay = 20 * time.Millisecond
	// maxPlaceEnds bounds the ends in a call.
	maxPlaceEnds = 64
)

var errNoPlaceOwner = errors.New("the owner of the places does not answer")

// placeEnds are the ends of requests with places that are not reported yet.
type placeEnds struct {
	ends      []places.End
	scheduled bool
}

// Place requests a place for one request at a server of a service. The controller owns the places of all VMs. It
// returns an error if no owner answers in time, and then for placeBackoff without a call.
func (p *Peers) Place(ctx context.Context, service string, r places.Request) (places.Answer, error) {
	if p.placesSuspended() {
		return places.Answer{}, errNoPlaceOwner
	}
	answer, err := p.requestPlace(ctx, service, r)
	if err != nil && ctx.Err() == nil {
		p.suspendPlaces()
		p.Log.Info().Str("service", service).Err(err).Msg("place call failed, choosing servers without the owner")
	}
	return answer, err
}

// requestPlace gets a place from the owner, which may be this VM.
func (p *Peers) requestPlace(ctx context.Context, service string, r places.Request) (places.Answer, error) {
	up, owner := p.grantor(p.Now())
	if owner {
		return p.grantPlace(service, r), nil
	}
	if up == nil {
		return places.Answer{}, errNoPlaceOwner
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	return up.place(ctx, service, r, p.takePlaceEnds())
}

// EndPlace reports the end of a request with a place to the owner, with the next call or within placeEndDelay.
func (p *Peers) EndPlace(e places.End) {
	if _, owner := p.grantor(p.Now()); owner {
		p.places.End(p.Now(), []places.End{e})
		return
	}
	p.addPlaceEnds([]places.End{e})
}

// addPlaceEnds adds ends to those that the next call to the hub takes along.
func (p *Peers) addPlaceEnds(ends []places.End) {
	if len(ends) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placeEnds.ends = append(p.placeEnds.ends, ends...)
	if !p.placeEnds.scheduled {
		p.placeEnds.scheduled = true
		time.AfterFunc(placeEndDelay, p.sendPlaceEnds)
	}
}

// sendPlaceEnds sends the ends that no call has taken along.
func (p *Peers) sendPlaceEnds() {
	p.mu.Lock()
	p.placeEnds.scheduled = false
	p.mu.Unlock()
	for ends := p.takePlaceEnds(); len(ends) > 0; ends = p.takePlaceEnds() {
		p.passPlaceEnds(context.Background(), ends)
	}
}

// passPlaceEnds records ends as the owner, or sends them to the hub. Ends that can not be sent are dropped: the owner
// frees their places after the longest usual response time.
func (p *Peers) passPlaceEnds(ctx context.Context, ends []places.End) {
	up, owner := p.grantor(p.Now())
	if owner {
		p.places.End(p.Now(), ends)
		return
	}
	if up == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	if err := up.conn.Send(ctx, &wire.Message{PermitCall: &wire.PermitCall{ZzEnded: placeEndList(ends)}}); err != nil {
		p.Log.Info().Err(err).Msg("reporting the ends of requests with places failed")
	}
}

// takePlaceEnds returns ends to report.
func (p *Peers) takePlaceEnds() []places.End {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.placeEnds.ends), maxPlaceEnds)
	ends := p.placeEnds.ends[:n:n]
	p.placeEnds.ends = p.placeEnds.ends[n:]
	return ends
}

func (p *Peers) placesSuspended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Now().Before(p.placesSuspendedUntil)
}

func (p *Peers) suspendPlaces() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placesSuspendedUntil = p.Now().Add(placeBackoff)
}

// grantPlace decides as the owner.
func (p *Peers) grantPlace(service string, r places.Request) places.Answer {
	now := p.Now()
	serving := p.Servers.Serving(now, service)
	list := make([]places.Server, 0, len(serving))
	for _, e := range serving {
		list = append(list, places.Server{ID: e.ID, Slots: e.Slots, Running: p.Balancer.Running(e.ID), ProcessingTime: p.Balancer.ResponseTime(e)})
	}
	return p.places.Ask(now, service, list, r)
}

// answerPlace answers a call of a linked VM for a place, or for the ends of requests only.
func (p *Peers) answerPlace(ctx context.Context, d *downlink, call *wire.PermitCall) {
	ends := placeEndsOf(call.ZzEnded)
	if call.ZzPlace == nil {
		p.passPlaceEnds(ctx, ends)
		return
	}
	ctx, span := spans.Start(ctx, "place", attribute.String("service", call.ZzPlace.Service))
	if _, owner := p.grantor(p.Now()); owner {
		p.places.End(p.Now(), ends)
	} else {
		p.addPlaceEnds(ends)
	}
	answer, err := p.requestPlace(ctx, call.ZzPlace.Service, placeRequestOf(call.ZzPlace))
	spans.End(span, err)
	reply := &wire.PermitReply{Call: call.Call, WaitUs: -1}
	if err == nil {
		reply.WaitUs = int(answer.Wait.Microseconds())
		reply.ZzPlace = &wire.PlaceReply{Place: answer.Place, Server: answer.Server, Refused: answer.Refused}
	}
	frame, err := link.Encode(&wire.Message{PermitReply: reply})
	if err != nil {
		p.Log.Error().Err(err).Msg("encoding a place reply failed")
		return
	}
	d.enqueueReply(frame)
}

// place requests a place from the hub and reports ends.
func (u *uplink) place(ctx context.Context, service string, r places.Request, ends []places.End) (places.Answer, error) {
	m, err := u.call(ctx, func(call int) *wire.Message {
		return &wire.Message{PermitCall: &wire.PermitCall{Call: call, ZzEnded: placeEndList(ends), ZzPlace: &wire.PlaceCall{
			Service: service, Key: int(r.Key), Priority: r.Priority, ObjectiveUs: int(r.Objective.Microseconds()), RemainingUs: int(r.Remaining.Microseconds()), ZzAvoid: r.Avoid,
		}}}
	})
	if err != nil {
		return places.Answer{}, err
	}
	reply := m.PermitReply
	if reply.ZzPlace == nil {
		return places.Answer{}, errNoPlaceOwner // The hub or a relay is an older build, or has no owner itself.
	}
	return places.Answer{
		Place: reply.ZzPlace.Place, Server: reply.ZzPlace.Server, Refused: reply.ZzPlace.Refused,
		Wait: time.Duration(reply.WaitUs) * time.Microsecond,
	}, nil
}

func placeRequestOf(call *wire.PlaceCall) places.Request {
	return places.Request{
		Key: uint64(call.Key), Priority: call.Priority, Objective: time.Duration(call.ObjectiveUs) * time.Microsecond, Remaining: time.Duration(call.RemainingUs) * time.Microsecond, Avoid: call.ZzAvoid,
	}
}

// placeEndList converts ends to their wire form.
func placeEndList(ends []places.End) []wire.PlaceEnd {
	var list []wire.PlaceEnd
	for _, e := range ends {
		list = append(list, wire.PlaceEnd{Place: e.Place, TookUs: int(e.Took.Microseconds())})
	}
	return list
}

// placeEndsOf converts ends from their wire form.
func placeEndsOf(list []wire.PlaceEnd) []places.End {
	var ends []places.End
	for _, e := range list {
		ends = append(ends, places.End{Place: e.Place, Took: time.Duration(e.TookUs) * time.Microsecond})
	}
	return ends
}
