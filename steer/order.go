// Package steer decides which models and adapters each backend server loads, and sends load and
// unload orders to the servers. One VM at a time does so under a lease; the others query that VM.
//
// Server, Demand, LoadLimiter and Planner make decisions without I/O. Controller runs them and
// calls the servers.
package steer

import (
	"context"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
)

// Order requests a server to load or unload a model, or an adapter of a model that the server has
// loaded.
type Order struct {
	Unload bool
	Model  string
	// Adapter is empty for an order that concerns the model itself.
	Adapter string
	// ExpectedSequence is the number of orders that the server must have accepted before this one.
	// The server checks it on execution, so a delayed order is invalid once the server has
	// accepted a later one.
	ExpectedSequence int
	// Holder is the name of the VM that sends the order, FencingToken its lease's fencing token.
	Holder       string
	FencingToken int
}

// OrderResult is a server's response to an order.
type OrderResult int

// Results of an order.
const (
	// Unknown means that no response arrived. The order may be executed now or later.
	Unknown OrderResult = iota
	// Accepted means that the server is executing the order.
	Accepted
	// Done means that the order is complete or was already fulfilled.
	Done
	// Conflict means that another order is in progress or that ExpectedSequence does not match.
	Conflict
	// Refused means that the order will never be executed.
	Refused
)

// Report is the state that a server reports. It is some hundred milliseconds old.
type Report struct {
	// StartedAt is when the server instance started, the zero time if the report does not contain it.
	StartedAt time.Time
	Models    []backs.LoadedModel
	// Pending are the adapters that are loading, by model.
	Pending []backs.LoadedModel
	// Busy means that a model is being loaded or unloaded.
	Busy bool
	// Sequence is the number of orders accepted by the server instance since it started.
	Sequence int
	// InMemory and OnDisk are the models whose weights the server caches there.
	InMemory, OnDisk []string
	// Notice is what the response says about the server besides. It is also set if there is no report
	// because the server refused to send one.
	Notice backs.Notice
}

// ServerCalls are the calls to servers. The deployment's platform layer implements them. The response to an
// order may say something about the server besides, whatever its result.
type ServerCalls struct {
	Send   func(ctx context.Context, server backs.Entry, o Order) (OrderResult, backs.Notice, error)
	Report func(ctx context.Context, server backs.Entry) (Report, error)
}

const (
	// maxReportAge is how old a report's data can be: servers specify 200 ms, and their timers
	// fire late.
	maxReportAge = 500 * time.Millisecond
	// adapterLoadTime is how long an adapter takes to load, at most: a request that arrives before
	// is refused.
	adapterLoadTime = 12 * time.Millisecond
)
