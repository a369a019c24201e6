// Package routes holds the operators' configuration for requests that are forwarded unchanged: the
// service of each host and path, how often a request may be sent and how long it may take, and the
// models of each service. A Table is immutable; a new version replaces it as a whole.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is how often a request of a route may be executed.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may be executed any number of times.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests are executed at most once.
	AtMostOnce Kind = "once"
	// Stream requests get server-sent events as their response. They are executed at most once unless
	// the route is resumable.
	Stream Kind = "stream"
)

// MaxWeight bounds the weight of a target, so that weights can be summed up.
const MaxWeight = 1 << 20

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight int
}

// Route is one routing rule. It has no encoding of its own; the platform adapter of a deployment
// fills it.
type Route struct {
	Name string
	Host string
	// PathPrefix is the path prefix. It begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time for the whole request.
	Timeout time.Duration
	// Objective is the latency objective: the time to the response, or to the first event of a
	// stream.
	Objective time.Duration
	// MaxEventGap is the maximum time between two events of a stream that meets its objective.
	MaxEventGap time.Duration
	// EventTimeout is how long callers wait for each event, including the first one, before they
	// abort the stream; 0 if they wait for the whole response.
	EventTimeout time.Duration
	// Priority is the priority among routes; 0 is the highest.
	Priority int
	// MaxServers bounds the number of servers that one request may be sent to.
	MaxServers int
	// PrefixAffinity is set if requests share prompt prefixes, so that sending them to the same server
	// saves work.
	PrefixAffinity bool
	// Resumable streams may continue at another server after their last event.
	Resumable bool
	// Public is set if requests need no key, even if the table has teams.
	Public  bool
	Targets []Target
}

// Repeatable reports whether a request that may have been executed may be sent again.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the target service of a request, selected by weight with a number that is
// uniformly distributed over requests. It returns "" if the route has no target.
func (r Route) PickService(random uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		if len(r.Targets) > 0 {
			return r.Targets[0].Service
		}
		return ""
	}
	remaining := int(random % uint64(total))
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	return ""
}

// Model is a set of weights that the servers of a service can load.
type Model struct {
	Name string
	// SizeMB is the size of the weights in megabytes, as configured by the operators.
	SizeMB float64
	// LoadTime, MemoryLoadTime and DiskLoadTime are the load times from the weight store, from a
	// copy in the server's memory and from a copy on its disk.
	LoadTime, MemoryLoadTime, DiskLoadTime time.Duration
	// AdapterCount is the number of adapters of the model.
	AdapterCount  int
	AdapterSizeMB float64
}

// Engine describes the servers of a service that runs models.
type Engine struct {
	// Slots is how many requests a server executes in one batch.
	Slots int
	// KVCacheTokens is the capacity for prompts and responses, in tokens.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// WeightMemoryMB is the memory for weights and adapters together.
	WeightMemoryMB float64
	AdapterSlots   int
	// HostCacheMB and DiskCacheMB are a server's capacity, in its memory and on its disk, for
	// copies of weights that load without the weight store; 0 if unknown.
	HostCacheMB, DiskCacheMB float64
	// StoreLoadsPerSecond limits the loads from the weight store over all servers.
	StoreLoadsPerSecond float64
	// MaxCacheEventCalls is how many open calls for cache events a server keeps.
	MaxCacheEventCalls int
	Models             map[string]Model
	// LargestModelMB is the size of the largest model.
	LargestModelMB float64
}

// RelativeSize returns the size of a model relative to the largest, or 0 if the model is unknown.
func (e *Engine) RelativeSize(model string) float64 {
	if e.LargestModelMB <= 0 {
		return 0
	}
	return e.Models[model].SizeMB / e.LargestModelMB
}

// Service is a group of interchangeable servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections a server accepts from all VMs together.
	MaxConns int
	// Engine is nil for services that run no models.
	Engine *Engine
}

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Table is one version of the whole configuration.
type Table struct {
	version      int
	routesByHost map[string][]Route
	services     map[string]Service
	// topPriority is the highest priority of the routes to each service.
	topPriority map[string]int
	// mixedPriorities holds the services whose routes have different priorities.
	mixedPriorities map[string]bool
	limits          Limits
	// requiresKey is set if the configuration has teams, even if the list is empty. teamByKey maps
	// the digests of all keys to team names.
	requiresKey     bool
	teams           map[string]Team
	teamByKey       map[keyDigest]string
	topTeamPriority int
}

// NewTable builds a table. Routes may be given in any order.
func NewTable(version int, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{version: version, routesByHost: make(map[string][]Route), services: make(map[string]Service), topPriority: make(map[string]int), mixedPriorities: make(map[string]bool), limits: limits}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
		for _, target := range r.Targets {
			priority, ok := t.topPriority[target.Service]
			if ok && r.Priority != priority {
				t.mixedPriorities[target.Service] = true
			}
			if !ok || r.Priority < priority {
				t.topPriority[target.Service] = r.Priority
			}
		}
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version number set by the operators.
func (t *Table) Version() int { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// TopPriority returns the highest priority of the routes to a service.
func (t *Table) TopPriority(service string) int { return t.topPriority[service] }

// HasMixedPriorities reports whether routes to a service have different priorities.
func (t *Table) HasMixedPriorities(service string) bool { return t.mixedPriorities[service] }

// Services returns all services in no particular order.
func (t *Table) Services() []Service {
	list := make([]Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	return list
}

// Routes returns all routes in no particular order.
func (t *Table) Routes() []Route {
	var list []Route
	for _, routes := range t.routesByHost {
		list = append(list, routes...)
	}
	return list
}

// Match returns the route for a host and path: among the routes of the host, the one with the
// longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}
