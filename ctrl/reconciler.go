// Package ctrl decides which load and unload orders a controller sends to
// backend servers. It never overcommits their memory: the memory that an order
// needs is reserved in a ledger in the platform before the order is sent, and
// stays reserved until the server reports the outcome. The package does no I/O
// and reads no clock.
package ctrl

import (
	"slices"
	"time"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Artifact is one version of a model or of an adapter. Adapter is empty for a
// model.
type Artifact struct {
	Model   string
	Adapter string
	Version int
	Bytes   int
}

func (a Artifact) matches(h wire.Holding) bool {
	return a.Model == h.Model && a.Adapter == h.Adapter && a.Version == h.Version
}

// Reconciler reconciles the ledger of one server with the server's load reports
// and with the artifacts that the server should hold. Server must be set.
type Reconciler struct {
	// Server is the server's stored description. Its MemoryBytes limit the sum of
	// the holdings' bytes.
	Server wire.Server
	// MaxOrderDelay is the maximum delay of an order. A server that does not
	// check fencing tokens may still get an order from a controller that has
	// lost its lease, so memory that an unload freed stays reserved for this
	// time.
	MaxOrderDelay time.Duration
	// MaxReportAge is the maximum age of a load report. For a holding that changed
	// within this time, a report is no evidence that the artifact is absent.
	MaxReportAge time.Duration

	ledger        wire.Ledger
	ledgerVersion int
	// fencingToken is the ledger version of this controller's last successful
	// update, 0 before the first; firstFencingToken is that of its first.
	fencingToken      int
	firstFencingToken int
	// unloadFencingTokens maps each unload order of this controller to the
	// ledger version that recorded it. Every load order of the holding was sent
	// with a lower fencing token.
	unloadFencingTokens map[string]int
	lastSentAt          map[string]time.Time
	sendCounts          map[string]int
	proposedLedger      wire.Ledger
}

// Back-off between resends of an order.
const (
	initialResendDelay = 200 * time.Millisecond
	maxResendDelay     = 5 * time.Second
	// maxSendsPerOrderID is the number of sends after which an order without
	// effect gets a new identifier.
	maxSendsPerOrderID = 5
)

// LoadQuota is a number of loads of models and of adapters. Where it limits new
// loads, nil means no limit.
type LoadQuota struct {
	Models   int
	Adapters int
}

// consume takes the load of one artifact from the quota and reports whether the
// quota sufficed.
func (l *LoadQuota) consume(a Artifact) bool {
	if l == nil {
		return true
	}
	remaining := &l.Models
	if a.Adapter != "" {
		remaining = &l.Adapters
	}
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// LoadingCounts returns how many models and adapters are being loaded.
func (r *Reconciler) LoadingCounts() (models, adapters int) {
	for _, h := range r.ledger.Holdings {
		switch {
		case h.State != wire.HoldingStateLoading:
		case h.Adapter != "":
			adapters++
		default:
			models++
		}
	}
	return models, adapters
}

// AllLoaded reports whether every artifact is recorded as loaded in its version.
func (r *Reconciler) AllLoaded(artifacts []Artifact) bool {
	for _, a := range artifacts {
		if !slices.ContainsFunc(r.ledger.Holdings, func(h wire.Holding) bool {
			return a.matches(h) && h.State == wire.HoldingStateLoaded
		}) {
			return false
		}
	}
	return true
}

// Missing returns the artifacts that have no holding in the ledger.
func (r *Reconciler) Missing(artifacts []Artifact) []Artifact {
	var missing []Artifact
	for _, a := range artifacts {
		if !slices.ContainsFunc(r.ledger.Holdings, a.matches) {
			missing = append(missing, a)
		}
	}
	return missing
}

// LoadedSince returns the models that were recorded as loaded after since, or
// are being loaded.
func (r *Reconciler) LoadedSince(since time.Time) []string {
	var names []string
	for _, h := range r.ledger.Holdings {
		recent := h.State == wire.HoldingStateLoading || h.State == wire.HoldingStateLoaded && h.ChangedMs > int(since.UnixMilli())
		if h.Adapter == "" && recent {
			names = append(names, h.Model)
		}
	}
	return names
}

// BaseLoaded reports whether any version of a model is recorded as loaded.
func (r *Reconciler) BaseLoaded(model string) bool { return baseLoaded(r.ledger.Holdings, model) }

// Models returns the models that are loaded or being loaded.
func (r *Reconciler) Models() []string {
	var names []string
	for _, h := range r.ledger.Holdings {
		loadedOrLoading := h.State == wire.HoldingStateLoaded || h.State == wire.HoldingStateLoading
		if h.Adapter == "" && loadedOrLoading && !slices.Contains(names, h.Model) {
			names = append(names, h.Model)
		}
	}
	return names
}

// Reset replaces the cached ledger with the one read from the platform. The
// controller has no fencing token until its next update.
func (r *Reconciler) Reset(version int, ledger wire.Ledger) {
	r.ledger, r.ledgerVersion, r.fencingToken, r.firstFencingToken = ledger, version, 0, 0
	r.unloadFencingTokens = nil
}

// Version returns the version of the cached ledger.
func (r *Reconciler) Version() int { return r.ledgerVersion }

// FencingToken returns the fencing token for orders: the ledger version of this
// controller's last successful update, 0 while there is none. A succeeding
// controller starts with an update, and so has a higher token.
func (r *Reconciler) FencingToken() int { return r.fencingToken }

// Holdings returns a copy of the holdings.
func (r *Reconciler) Holdings() []wire.Holding { return slices.Clone(r.ledger.Holdings) }

// ReservedBytes returns the bytes of all holdings in any state.
func (r *Reconciler) ReservedBytes() int { return reservedBytes(r.ledger.Holdings) }

func reservedBytes(holdings []wire.Holding) int {
	total := 0
	for _, h := range holdings {
		total += h.Bytes
	}
	return total
}

// Reconcile returns the next ledger. It records the outcomes that the report
// shows, adds an intent for each wanted artifact whose bytes fit, and marks
// unwanted holdings for unloading where mayRemove allows it. It reports whether
// the ledger must be written. A new controller always writes it, which raises
// the fencing token.
func (r *Reconciler) Reconcile(
	now time.Time, report wire.LoadReport, wanted []Artifact,
	mayRemove func(Artifact) bool, quota *LoadQuota, newOrderID func() string,
) (wire.Ledger, bool) {
	next := wire.Ledger{Server: r.Server.Name, Holdings: []wire.Holding{}}
	changed := r.fencingToken == 0
	for _, h := range r.ledger.Holdings {
		updated, modified, keep := r.reconcileHolding(now, h, report, wanted, newOrderID)
		changed = changed || modified
		if keep {
			next.Holdings = append(next.Holdings, updated)
		}
	}
	if unrecorded := unrecordedHoldings(now, next.Holdings, report, newOrderID); len(unrecorded) > 0 {
		next.Holdings = append(next.Holdings, unrecorded...)
		changed = true
	}
	for i, h := range next.Holdings {
		if marked, ok := markUnwanted(now, h, wanted, mayRemove, newOrderID); ok {
			next.Holdings[i] = marked
			changed = true
		}
	}
	for _, a := range wanted {
		if h, ok := r.newLoadIntent(now, next.Holdings, a, quota, newOrderID); ok {
			next.Holdings = append(next.Holdings, h)
			changed = true
		}
	}
	r.proposedLedger = next
	return next, changed
}

// reconcileHolding returns the holding with the outcome of its order, if the
// report shows one, and reports whether the holding changed and whether it stays
// in the ledger.
func (r *Reconciler) reconcileHolding(
	now time.Time, h wire.Holding, report wire.LoadReport, wanted []Artifact, newOrderID func() string,
) (next wire.Holding, modified, keep bool) {
	state, present := residentState(report, h)
	absent := !present && r.sinceChange(now, h) >= r.MaxReportAge
	switch h.State {
	case wire.HoldingStateLoading:
		if present && state == wire.ResidentStateLoaded {
			return withState(now, h, wire.HoldingStateLoaded), true, true
		}
		// The server received the load order but does not hold the artifact, so a
		// delayed unload order undid the load. The server executes the load again
		// only under a new identifier.
		if absent && r.sendCounts[h.Order] >= maxSendsPerOrderID {
			h.Order = newOrderID()
			return withState(now, h, wire.HoldingStateLoading), true, true
		}
	case wire.HoldingStateLoaded:
		// A restarted server has lost its holdings. A wanted artifact is loaded
		// again. The bytes of any other stay reserved until no order for it can
		// be in flight.
		if absent && !slices.ContainsFunc(wanted, func(a Artifact) bool { return a.matches(h) }) {
			return withState(now, h, wire.HoldingStateGone), true, true
		}
		if absent {
			h.Order = newOrderID()
			return withState(now, h, wire.HoldingStateLoading), true, true
		}
	case wire.HoldingStateUnloading:
		if !present && r.loadOrdersFenced(h, report) {
			return h, true, false
		}
		if absent {
			return withState(now, h, wire.HoldingStateGone), true, true
		}
		// A delayed load order may have undone the unload, whose identifier the
		// server now ignores as a duplicate. If requests still use the weights
		// instead, a second unload order is harmless.
		if present && r.sendCounts[h.Order] >= maxSendsPerOrderID {
			h.Order = newOrderID()
			return withState(now, h, wire.HoldingStateUnloading), true, true
		}
	case wire.HoldingStateGone:
		// A duplicate of the load order may still be in flight to a server that
		// does not check fencing tokens. The bytes stay reserved for the maximum
		// delay of an order.
		if present {
			h.Order = newOrderID()
			return withState(now, h, wire.HoldingStateUnloading), true, true
		}
		if r.sinceChange(now, h) >= r.MaxOrderDelay {
			return h, true, false
		}
	}
	return h, false, true
}

// loadOrdersFenced reports whether the server rejects every load order that may
// still be in flight for a holding being unloaded, because it has received a
// higher fencing token. The report was taken after that, so it shows what
// remains on the server.
func (r *Reconciler) loadOrdersFenced(h wire.Holding, report wire.LoadReport) bool {
	if !r.Server.ChecksFencing || r.fencingToken == 0 {
		return false
	}
	unloadToken, ownUnload := r.unloadFencingTokens[h.Order]
	if !ownUnload {
		unloadToken = r.firstFencingToken
	}
	return report.Fence >= unloadToken
}

// sinceChange returns the time since a holding changed its state.
func (r *Reconciler) sinceChange(now time.Time, h wire.Holding) time.Duration {
	return now.Sub(time.UnixMilli(int64(h.ChangedMs)))
}

// unrecordedHoldings returns holdings for the reported artifacts that the ledger
// lacks, such as manually loaded ones. Their bytes count like all others.
func unrecordedHoldings(now time.Time, holdings []wire.Holding, report wire.LoadReport, newOrderID func() string) []wire.Holding {
	var unrecorded []wire.Holding
	for _, r := range report.Residents {
		a := Artifact{Model: r.Model, Adapter: r.Adapter, Version: r.Version}
		if slices.ContainsFunc(holdings, a.matches) {
			continue
		}
		state := wire.HoldingStateLoaded
		if r.State == wire.ResidentStateLoading {
			state = wire.HoldingStateLoading
		}
		unrecorded = append(unrecorded, wire.Holding{
			Model: r.Model, Adapter: r.Adapter, Version: r.Version, Bytes: r.Bytes,
			State: state, Order: newOrderID(), ChangedMs: int(now.UnixMilli()),
		})
	}
	return unrecorded
}

func residentState(report wire.LoadReport, h wire.Holding) (wire.ResidentState, bool) {
	for _, r := range report.Residents {
		if r.Model == h.Model && r.Adapter == h.Adapter && r.Version == h.Version {
			return r.State, true
		}
	}
	return "", false
}

func withState(now time.Time, h wire.Holding, s wire.HoldingState) wire.Holding {
	h.State = s
	h.ChangedMs = int(now.UnixMilli())
	return h
}

// markUnwanted marks a loaded holding for unloading if its artifact is not
// wanted and may be removed.
func markUnwanted(now time.Time, h wire.Holding, wanted []Artifact, mayRemove func(Artifact) bool, newOrderID func() string) (wire.Holding, bool) {
	if h.State != wire.HoldingStateLoaded {
		return h, false
	}
	if slices.ContainsFunc(wanted, func(a Artifact) bool { return a.matches(h) }) {
		return h, false
	}
	if !mayRemove(Artifact{Model: h.Model, Adapter: h.Adapter, Version: h.Version, Bytes: h.Bytes}) {
		return h, false
	}
	h.Order = newOrderID()
	return withState(now, h, wire.HoldingStateUnloading), true
}

// newLoadIntent returns the intent to load an artifact that has no holding, if
// its bytes fit in addition to all recorded ones, the base model of an adapter
// is loaded, and the quota suffices.
func (r *Reconciler) newLoadIntent(now time.Time, holdings []wire.Holding, a Artifact, quota *LoadQuota, newOrderID func() string) (wire.Holding, bool) {
	if slices.ContainsFunc(holdings, a.matches) {
		return wire.Holding{}, false
	}
	if reservedBytes(holdings)+a.Bytes > r.Server.MemoryBytes {
		return wire.Holding{}, false
	}
	if a.Adapter != "" && !baseLoaded(holdings, a.Model) {
		return wire.Holding{}, false
	}
	if !quota.consume(a) {
		return wire.Holding{}, false
	}
	return wire.Holding{
		Model: a.Model, Adapter: a.Adapter, Version: a.Version, Bytes: a.Bytes,
		State: wire.HoldingStateLoading, Order: newOrderID(), ChangedMs: int(now.UnixMilli()),
	}, true
}

func baseLoaded(holdings []wire.Holding, model string) bool {
	return slices.ContainsFunc(holdings, func(h wire.Holding) bool {
		return h.Model == model && h.Adapter == "" && h.State == wire.HoldingStateLoaded
	})
}

// Committed records that the platform stored the ledger of the last Reconcile
// under a version.
func (r *Reconciler) Committed(version int) {
	r.ledger, r.ledgerVersion, r.fencingToken = r.proposedLedger, version, version
	if r.firstFencingToken == 0 {
		r.firstFencingToken = version
	}
	for _, h := range r.ledger.Holdings {
		if _, recorded := r.unloadFencingTokens[h.Order]; h.State != wire.HoldingStateUnloading || recorded {
			continue
		}
		if r.unloadFencingTokens == nil {
			r.unloadFencingTokens = make(map[string]int)
		}
		r.unloadFencingTokens[h.Order] = version
	}
}
