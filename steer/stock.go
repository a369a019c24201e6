package steer

import (
	"slices"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

// stock is the copies of weights that a server can load without the weight store, in
// its memory and on its disk, the least recently used first.
type stock struct{ memory, disk []string }

// loaded takes in a load: it leaves a copy in both, and the least recently used ones
// make way. Where the sizes are not known, nothing is left to rely on until the next
// report.
func (k *stock) loaded(e *routes.Engine, model string) {
	k.memory = keep(e, k.memory, e.HostCacheMB, model)
	k.disk = keep(e, k.disk, e.DiskCacheMB, model)
}

// keep returns a list with a model as the one used last, within its room.
func keep(e *routes.Engine, list []string, room float64, model string) []string {
	if room <= 0 {
		return nil
	}
	list = slices.DeleteFunc(slices.Clone(list), func(m string) bool { return m == model })
	list = append(list, model)
	total := 0.0
	for _, m := range list {
		total += e.Models[m].SizeMB
	}
	for len(list) > 0 && total > room {
		total -= e.Models[list[0]].SizeMB
		list = list[1:]
	}
	return list
}

// has reports whether a model loads without the weight store.
func (k *stock) has(model string) bool {
	return slices.Contains(k.memory, model) || slices.Contains(k.disk, model)
}
