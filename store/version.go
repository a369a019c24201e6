package store

// revisionBits is the number of bits of a version that hold the revision.
const revisionBits = 40

// MaxRevision is the highest revision that a version can hold.
const MaxRevision = 1<<revisionBits - 1

// VersionOf returns the version of what a store wrote with a revision in an era. A store that comes back from a
// copy begins a new era and gives out revisions again that it gave out before, so that revisions alone neither
// order nor identify what it holds. Versions do both: any version of an era is higher than all versions of the
// eras before. A store without eras has era 0, and its versions are its revisions.
func VersionOf(era, revision int) int { return era<<revisionBits | revision }

// SplitVersion returns the era and the revision of a version.
func SplitVersion(version int) (era, revision int) {
	return version >> revisionBits, version & MaxRevision
}
