package steer

import (
	"slices"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// weightCache is the models that a server can load without the weight store, from its memory and
// its disk, the least recently used first.
type weightCache struct{ memory, disk []string }

// add records a load, which caches the model in memory and on disk and evicts the least recently
// used ones. If a cache size is unknown, that cache counts as empty until the next report.
func (c *weightCache) add(e *routes.Engine, model string) {
	c.memory = appendRecent(e, c.memory, e.HostCacheMB, model)
	c.disk = appendRecent(e, c.disk, e.DiskCacheMB, model)
}

// appendRecent returns a list with a model as the most recently used one, cut to the capacity.
func appendRecent(e *routes.Engine, list []string, capacityMB float64, model string) []string {
	if capacityMB <= 0 {
		return nil
	}
	list = slices.DeleteFunc(slices.Clone(list), func(m string) bool { return m == model })
	list = append(list, model)
	total := 0.0
	for _, m := range list {
		total += e.Models[m].SizeMB
	}
	for len(list) > 0 && total > capacityMB {
		total -= e.Models[list[0]].SizeMB
		list = list[1:]
	}
	return list
}

// contains reports whether a model can be loaded without the weight store.
func (c *weightCache) contains(model string) bool {
	return slices.Contains(c.memory, model) || slices.Contains(c.disk, model)
}
