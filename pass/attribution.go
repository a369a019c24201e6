package pass

import (
	"time"

	"github.com/rs/zerolog"
)

// attribution is what ties a response to the send that it is taken for the answer to.
type attribution struct {
	// connNew is set if no response had arrived on the connection before, connCarried if the connection may bring a
	// response to an earlier send of the same attempt, answered once a response was taken and named if that names the
	// attempt.
	connNew, connCarried, answered, named bool
}

// addTo adds the attribution to a line of the log.
func (a attribution) addTo(line *zerolog.Event) {
	line.Bool("conn_new", a.connNew).Bool("conn_carried", a.connCarried)
	if a.answered {
		line.Bool("answer_named", a.named)
	}
}

// recordSend records over what kind of connection a request is sent now.
func (r *reply) recordSend(now time.Time) {
	r.attribution = attribution{connNew: r.unproven, connCarried: r.conn.Ambiguous(now, r.requestID)}
	if r.attribution.connCarried {
		r.g.Meter.AddCounter("pass.sends_on_carried", 1)
	}
}

// recordNamed records that the response taken names an attempt, id "" for none.
func (r *reply) recordNamed(id string) {
	r.attribution.answered, r.attribution.named = true, id != ""
	if id == "" {
		r.g.Meter.AddCounter("pass.unnamed_answers", 1)
	}
}
