package admit

// Division of a fleet-wide limit among VMs: a fixed part that is the same for
// each VM, and a part that follows demand.
const (
	evenFraction  = 0.5
	maxEvenShares = 2
)

// Share returns the part of a fleet-wide limit that a VM may use. Half of the
// limit is divided evenly among vms. The other half is divided by demand
// (requests in progress and waiting), as far as the VM has received that of
// its peers. No VM gets more than twice an even share, so that the limit is
// exceeded at most twofold even when no VM receives any peer's demand. VMs
// that stopped reporting count in vms until the platform has removed them.
func Share(limit, vms, localDemand int, peerDemand []int) int {
	vms = max(vms, 1)
	total := localDemand
	for _, n := range peerDemand {
		total += n
	}
	even := float64(limit) / float64(vms)
	share := evenFraction * even
	if total > 0 {
		share += (1 - evenFraction) * float64(limit) * float64(localDemand) / float64(total)
	} else {
		share += (1 - evenFraction) * even
	}
	return max(int(min(share, maxEvenShares*even)), 1)
}
