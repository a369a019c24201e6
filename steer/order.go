// Package steer decides which models and adapters the backend servers hold and
// orders it. One VM at a time does so, under a lease; the others ask it.
//
// Server, Demand, Ceiling and Plan decide and do no I/O. Controller drives them.
package steer

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Order tells a server to load or drop a model, or an adapter of a model that
// it holds.
type Order struct {
	Unload bool
	Model  string
	// Adapter is empty for the model itself.
	Adapter string
	// Expect is the number of orders that the server must have accepted before.
	// It is checked when the order is carried out, so an order that comes late
	// is dead once a later one was accepted.
	Expect int
	// Holder and Fence name the VM that gives the order and its lease.
	Holder string
	Fence  int
}

// Verdict is a server's answer to an order.
type Verdict int

// The verdicts.
const (
	// Unknown means that no answer came: the order may be carried out, now or
	// later.
	Unknown Verdict = iota
	// Accepted means that the order is being carried out.
	Accepted
	// Done means that it holds.
	Done
	// Conflict means that another order is under way or that Expect was wrong.
	Conflict
	// Refused means that the order will never be carried out.
	Refused
)

// Report is what a server says of itself. It is some hundred milliseconds old.
type Report struct {
	// Born is when the server started, the zero time when it does not tell.
	Born   time.Time
	Models []backs.LoadedModel
	// Pending are adapters on their way, as model and adapter.
	Pending []backs.LoadedModel
	// Busy says that a model is being loaded or dropped.
	Busy bool
	// Sequence is the number of orders accepted since the server's start.
	Sequence int
	// InMemory and OnDisk are the models that the server has copies of.
	InMemory, OnDisk []string
}

// Commands are the calls to servers. A deployment's adapter fills them.
type Commands struct {
	Send   func(ctx context.Context, server backs.Entry, o Order) (Verdict, error)
	Report func(ctx context.Context, server backs.Entry) (Report, error)
}

const (
	// reportLag is how old a report can be: servers give 200 ms, and their
	// timers fire late.
	reportLag = 500 * time.Millisecond
	// adapterReady is how long an adapter takes to load: 5 to 10 ms by the data
	// sheets, and a request that comes too early is refused.
	adapterReady = 12 * time.Millisecond
)
