package profs

import (
	"slices"
	"strings"
	"sync"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// View is the set of active profiles of a VM. Versions never decrease: a document
// only replaces one with a lower version, and a retired profile stays retired.
// The zero value is empty. Its methods are safe for concurrent use.
type View struct {
	mu       sync.RWMutex
	profiles map[string]hibiscuscart.Profile
}

// Update replaces the active version of a profile if the given version is higher,
// and reports whether it did.
func (v *View) Update(version int, doc wire.Profile) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.updateLocked(version, doc)
}

func (v *View) updateLocked(version int, doc wire.Profile) bool {
	current, exists := v.profiles[doc.Name]
	if exists && version <= current.Version() {
		return false
	}
	// A watch event or a peer's copy from before the retirement can arrive after
	// it. A retired profile is never served again, whatever the version of such a
	// document.
	if exists && current.Retired() {
		doc = current.Document()
	}
	if v.profiles == nil {
		v.profiles = make(map[string]hibiscuscart.Profile)
	}
	v.profiles[doc.Name] = hibiscuscart.NewProfile(version, doc)
	return true
}

// Retire retires a profile whose object was deleted at the given version, and
// reports whether the view changed.
func (v *View) Retire(version int, name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	doc := wire.Profile{Name: name}
	if current, exists := v.profiles[name]; exists {
		doc = current.Document()
	}
	doc.Retired = true
	return v.updateLocked(version, doc)
}

// RetireMissing retires the profiles that are missing from a listing taken at the
// given version. It skips profiles whose version is not lower than that of
// the listing, because the listing may predate them.
func (v *View) RetireMissing(version int, listed map[string]bool) {
	for _, p := range v.All() {
		if !listed[p.Name()] && !p.Retired() && p.Version() < version {
			v.Retire(version, p.Name())
		}
	}
}

// Get returns a profile, which may be retired, and whether the view contains it.
func (v *View) Get(name string) (hibiscuscart.Profile, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	p, ok := v.profiles[name]
	return p, ok
}

// All returns all profiles, including retired ones, sorted by name.
func (v *View) All() []hibiscuscart.Profile {
	v.mu.RLock()
	defer v.mu.RUnlock()
	all := make([]hibiscuscart.Profile, 0, len(v.profiles))
	for _, p := range v.profiles {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b hibiscuscart.Profile) int { return strings.Compare(a.Name(), b.Name()) })
	return all
}

// Versions returns the active versions of all profiles, sorted by name.
func (v *View) Versions() []wire.ProfileVersion {
	all := v.All()
	versions := make([]wire.ProfileVersion, len(all))
	for i, p := range all {
		versions[i] = wire.ProfileVersion{Name: p.Name(), Version: p.Version()}
	}
	return versions
}

// OutdatedNames returns the names of the profiles whose version in the view is lower
// than the given version.
func (v *View) OutdatedNames(versions []wire.ProfileVersion) []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var names []string
	for _, pv := range versions {
		if v.profiles[pv.Name].Version() < pv.Version {
			names = append(names, pv.Name)
		}
	}
	return names
}
