package node

// If every VM polled an unreachable store for the configuration, the servers and the lease, the calls of a
// large fleet would hold up its recovery. A poll for the configuration detects the recovery just as well,
// so the other calls wait for its response. The controller makes all three calls, because the other VMs
// get its data within milliseconds.

// storeUnreachable reports whether the store is unreachable and this VM, not being the controller,
// polls it only for the configuration.
func (n *Node) storeUnreachable() bool {
	return !n.peers.Leading() && n.kindUnreachable(n.config.ConfigKind)
}

// kindUnreachable reports whether the store counts as unreachable for a kind.
func (n *Node) kindUnreachable(kind string) bool { return n.failureCount(kind) >= outageFailures }

// failureCount returns the number of consecutive failed calls for a kind.
func (n *Node) failureCount(kind string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failedCalls[kind]
}

// recordFailure records a failed call for a kind and returns the number of consecutive ones.
func (n *Node) recordFailure(kind string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failedCalls[kind]++
	return n.failedCalls[kind]
}

// discardSingleFailure resets the failure count of a kind, unless the store counts as unreachable.
// Otherwise an old failure would count as consecutive with the next one.
func (n *Node) discardSingleFailure(kind string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failedCalls[kind] < outageFailures {
		n.failedCalls[kind] = 0
	}
}

// resetFailures records a response for a kind and returns the number of calls that failed before.
func (n *Node) resetFailures(kind string) (failures int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	failures = n.failedCalls[kind]
	n.failedCalls[kind] = 0
	return failures
}
