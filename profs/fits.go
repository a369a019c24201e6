package profs

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/store"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// CapacityCheck returns a check that rejects a document if its models do not fit
// on the pool's servers together with the models of the other profiles. It
// requires free memory for a second replica of the largest model, so that a model
// can be moved by loading the new replica before unloading the old one.
func CapacityCheck(list func(ctx context.Context, kind string) (store.Listing, error)) func(context.Context, wire.Profile) error {
	return func(ctx context.Context, doc wire.Profile) error {
		servers, err := list(ctx, "servers")
		if err != nil {
			return fmt.Errorf("list servers: %w", err)
		}
		profiles, err := list(ctx, ObjectKind)
		if err != nil {
			return fmt.Errorf("list profiles: %w", err)
		}
		return checkPacking(poolServers(servers, doc.Pool), modelSizes(profiles, doc))
	}
}

func poolServers(list store.Listing, pool string) []wire.Server {
	var servers []wire.Server
	for _, obj := range list.Items {
		var s wire.Server
		if json.Unmarshal(obj.Value, &s) == nil && s.Pool == pool {
			servers = append(servers, s)
		}
	}
	return servers
}

// modelSizes returns the size in bytes of each model that the pool would have to
// hold with doc applied.
func modelSizes(list store.Listing, doc wire.Profile) map[string]int {
	sizes := make(map[string]int)
	add := func(p wire.Profile) {
		if p.Retired || p.Pool != doc.Pool {
			return
		}
		for _, m := range p.Models {
			sizes[m.Name] = max(sizes[m.Name], sizeWithAdapters(m))
		}
	}
	for _, obj := range list.Items {
		p, err := Parse(obj.Value)
		if err == nil && p.Name != doc.Name {
			add(p)
		}
	}
	add(doc)
	return sizes
}

func sizeWithAdapters(m wire.Model) int {
	total := m.Bytes
	for _, a := range m.Adapters {
		total += a.Bytes
	}
	return total
}

// checkPacking places the models on the servers by first fit, in descending order
// of size. It returns an error if a model or a second replica of the largest
// model does not fit.
func checkPacking(servers []wire.Server, sizes map[string]int) error {
	if len(servers) == 0 {
		return trace.BadParameter("pool has no servers")
	}
	freeBytes := make([]int, len(servers))
	totalBytes := 0
	for i, s := range servers {
		freeBytes[i] = s.MemoryBytes
		totalBytes += s.MemoryBytes
	}
	names := make([]string, 0, len(sizes))
	for name := range sizes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(sizes[b], sizes[a]), cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return nil
	}
	neededBytes, largestBytes := 0, sizes[names[0]]
	for _, name := range names {
		neededBytes += sizes[name]
		if !placeFirstFit(freeBytes, sizes[name]) {
			return trace.LimitExceeded("model %s (%d bytes with its adapters) fits on no server: %d models need %d bytes, %d servers have %d",
				name, sizes[name], len(names), neededBytes, len(servers), totalBytes)
		}
	}
	if !placeFirstFit(freeBytes, largestBytes) {
		return trace.LimitExceeded("no memory to move a model: %d models need %d bytes and a second copy of the largest needs %d more, %d servers have %d",
			len(names), neededBytes, largestBytes, len(servers), totalBytes)
	}
	return nil
}

func placeFirstFit(freeBytes []int, bytes int) bool {
	for i := range freeBytes {
		if freeBytes[i] >= bytes {
			freeBytes[i] -= bytes
			return true
		}
	}
	return false
}
