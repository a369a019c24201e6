package trail

import (
	"cmp"
	"maps"
	"slices"
)

// outcomeCounts counts requests by outcome.
type outcomeCounts struct{ total, inTime, late, lost int }

func (c *outcomeCounts) add(r *Request) {
	c.total++
	switch r.outcome {
	case InTime:
		c.inTime++
	case Late:
		c.late++
	case Lost:
		c.lost++
	}
}

func (c *outcomeCounts) lateOrLost() int { return c.late + c.lost }

// shares returns the share of each outcome, for a table.
func (c *outcomeCounts) shares() (inTime, late, lost string) {
	return formatShare(c.inTime, c.total), formatShare(c.late, c.total), formatShare(c.lost, c.total)
}

// groupRequests counts requests by a key, and returns the keys in descending order of late and lost
// requests.
func groupRequests(list []*Request, key func(*Request) textID) (map[textID]*outcomeCounts, []textID) {
	groups := make(map[textID]*outcomeCounts)
	for _, r := range list {
		k := key(r)
		if groups[k] == nil {
			groups[k] = &outcomeCounts{}
		}
		groups[k].add(r)
	}
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b textID) int {
		return cmp.Or(cmp.Compare(groups[b].lateOrLost(), groups[a].lateOrLost()), cmp.Compare(groups[b].total, groups[a].total), cmp.Compare(a, b))
	})
	return groups, keys
}
