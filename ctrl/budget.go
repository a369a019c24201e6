package ctrl

import (
	"slices"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Budget divides the fleet-wide limits on concurrent loads from the weight store
// among the failure domains. One object in the platform holds all shares. Each
// domain acquires a share of the free loads and returns what it does not need,
// by conditional update of this object. The sum of the shares therefore never
// exceeds the limits, even when domains are partitioned.
//
// FailureDomain, ModelLimit and AdapterLimit must be set.
type Budget struct {
	FailureDomain string
	// ModelLimit and AdapterLimit are the fleet-wide limits on concurrent loads
	// of models and of adapters.
	ModelLimit   int
	AdapterLimit int

	version  int
	stored   wire.Budget
	proposed wire.Budget
}

// Reset replaces the cached object with the one read from the platform.
func (b *Budget) Reset(version int, doc wire.Budget) { b.version, b.stored = version, doc }

// Version returns the version that the next update is conditional on.
func (b *Budget) Version() int { return b.version }

// Share returns the domain's share.
func (b *Budget) Share() LoadQuota {
	s := b.ownShare()
	return LoadQuota{Models: s.Loads, Adapters: s.Adapters}
}

func (b *Budget) ownShare() wire.BudgetShare {
	for _, s := range b.stored.Shares {
		if s.FailureDomain == b.FailureDomain {
			return s
		}
	}
	return wire.BudgetShare{FailureDomain: b.FailureDomain}
}

// Propose returns the next object, given the loads that the domain wants and
// those in progress. The domain cannot return the share of loads in progress.
// Propose reports whether the object must be written.
func (b *Budget) Propose(wanted, inProgress LoadQuota) (wire.Budget, bool) {
	current := b.ownShare()
	next := wire.Budget{Shares: []wire.BudgetShare{}}
	freeLoads, freeAdapters := b.ModelLimit, b.AdapterLimit
	loadRequesters, adapterRequesters := 1, 1
	for _, s := range b.stored.Shares {
		if s.FailureDomain == b.FailureDomain {
			continue
		}
		next.Shares = append(next.Shares, s)
		freeLoads -= s.Loads
		freeAdapters -= s.Adapters
		loadRequesters += min(s.WantsLoads, 1)
		adapterRequesters += min(s.WantsAdapters, 1)
	}
	share := wire.BudgetShare{
		FailureDomain: b.FailureDomain, WantsLoads: wanted.Models, WantsAdapters: wanted.Adapters,
		Loads:    fairShare(wanted.Models, freeLoads, b.ModelLimit, loadRequesters, inProgress.Models),
		Adapters: fairShare(wanted.Adapters, freeAdapters, b.AdapterLimit, adapterRequesters, inProgress.Adapters),
	}
	next.Shares = append(next.Shares, share)
	slices.SortFunc(next.Shares, func(x, y wire.BudgetShare) int {
		if x.FailureDomain < y.FailureDomain {
			return -1
		}
		return 1
	})
	b.proposed = next
	return next, share != current
}

// fairShare returns the share of a domain: the wanted loads, limited by the free
// ones and by an even share among the domains that want loads, but no less than
// the loads in progress.
func fairShare(wanted, free, limit, requesters, inProgress int) int {
	evenShare := max(limit/requesters, 1)
	return max(min(wanted, free, evenShare), min(inProgress, max(free, 0)), 0)
}

// Committed records that the platform stored the object of the last Propose
// under a version.
func (b *Budget) Committed(version int) { b.version, b.stored = version, b.proposed }
