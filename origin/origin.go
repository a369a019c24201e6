// Package origin keeps which service and software version began each stream, so that any VM on which a caller
// takes its stream up can go on with it at that version. The VM that begins a stream tells some other VMs, its
// keepers, which are chosen by a hash of the attempt's ID, and the VM that is to go on asks them.
package origin

import "github.com/cespare/xxhash/v2"

// Record is what is kept of the attempt that began a stream.
type Record struct {
	// Service and Version are the service and the software version of the server that began the stream.
	Service, Version string
}

// Keeper is a VM that keeps origins for others.
type Keeper struct {
	// Address is where the VM takes datagrams, Domain its failure domain.
	Address, Domain string
}

// keepersPerAttempt is how many other VMs keep each origin. One of them is in the failure domain of the VM that
// began the stream, as callers mostly return to that domain and it may be cut off from all others.
const keepersPerAttempt = 3

// Load pattern: each VM begins tens of streams a second and knows up to a hundred and more keepers. Sorting them for
// each stream would cost more than the datagrams.

// KeepersOf returns the addresses of the VMs that keep the origin of an attempt: one in a failure domain, that of
// the VM that tells or asks, then those that rank first among all others. VMs whose lists differ by few members
// choose mostly the same ones, as each VM is ranked by itself.
func KeepersOf(attempt string, all []Keeper, domain, self string) []string {
	hash := xxhash.New()
	_, _ = hash.WriteString(attempt)
	var near ranked
	var first [keepersPerAttempt]ranked
	for _, k := range all {
		if k.Address == self {
			continue
		}
		own := *hash
		_, _ = own.WriteString(k.Address)
		r := ranked{k.Address, own.Sum64()}
		if k.Domain == domain && r.before(near) {
			near = r
		}
		for i, other := range first {
			if r.before(other) {
				first[i], r = r, other
			}
		}
	}
	var addresses []string
	if near.address != "" {
		addresses = append(addresses, near.address)
	}
	for _, r := range first {
		if r.address != "" && r.address != near.address && len(addresses) < keepersPerAttempt {
			addresses = append(addresses, r.address)
		}
	}
	return addresses
}

// ranked is a VM with its rank for an attempt. The zero value ranks last.
type ranked struct {
	address string
	rank    uint64
}

func (r ranked) before(other ranked) bool {
	return other.address == "" || r.address != "" && r.rank > other.rank
}
