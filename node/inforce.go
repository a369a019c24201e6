package node

import "bytes"

// inForce is a configuration that a VM applies, or that the store or a hub shows it.
type inForce struct {
	// version is that of the operators. It only rises.
	version int
	// storeVersion is the version at which the store shows it, 0 if a hub does. Of the configuration in force it is
	// the highest at which the store has shown this one or one before it.
	storeVersion int
	// number is that of frames with it. VMs of older builds take a frame only if its number is higher than
	// that of the last, which was the revision.
	number int
	// value is the configuration as stored, nil if there is none.
	value []byte
}

// replacedBy reports whether a VM applies a shown configuration instead. A store that came back from a copy shows an
// older one first, and a VM that took it would handle requests as operators no longer want; what they write then has
// lower revisions than what was lost. The operators' version is right in both cases. If they use one twice, the later
// of the two applies.
func (c inForce) replacedBy(shown inForce) bool {
	switch {
	case c.value == nil:
		return true
	case shown.version != c.version:
		return shown.version > c.version
	case bytes.Equal(shown.value, c.value):
		return false
	case shown.storeVersion > 0:
		return shown.storeVersion > c.storeVersion
	}
	return shown.number > c.number
}

// after returns what a VM applies after it was shown a configuration. Its number is the revision if it can be, but
// rises with each configuration that is applied, and is never lower than one that a hub has told.
func (c inForce) after(shown inForce) inForce {
	if c.replacedBy(shown) {
		shown.number, shown.storeVersion = max(shown.number, c.number+1), max(shown.storeVersion, c.storeVersion)
		return shown
	}
	if shown.version == c.version {
		c.storeVersion = max(c.storeVersion, shown.storeVersion)
	}
	if shown.storeVersion == 0 {
		c.number = max(c.number, shown.number)
	}
	return c
}
