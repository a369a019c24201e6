// Package backs keeps a VM's view of the backend servers: which servers exist, which are
// draining, and which models they have loaded. It does no I/O and reads no clock.
package backs

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// LoadedModel is a model that a server has loaded, with its loaded adapters.
type LoadedModel struct {
	Model    string
	Version  int
	Adapters []string
}

func (m LoadedModel) equal(other LoadedModel) bool {
	return m.Model == other.Model && m.Version == other.Version && slices.Equal(m.Adapters, other.Adapters)
}

// Entry describes a server as the platform lists it.
type Entry struct {
	// ID identifies one instance, that is, one process run of the server. Nothing observed
	// of an earlier instance applies to it.
	ID string
	// Name is the server's name on the platform, empty where the ID is that name.
	Name string
	// StartedAt is when the instance started, the zero time where the platform does not
	// report it. A server may restart under the same name.
	StartedAt time.Time
	Service   string
	Address   string
	Domain    string
	// SoftwareVersion is the version of the software that the instance runs, empty if unknown. What
	// servers of two versions write into one stream does not fit together.
	SoftwareVersion string
	// Slots is how many requests the server processes concurrently.
	Slots    int
	Draining bool
	// DrainRemaining is the time until a draining server exits, 0 when unknown.
	DrainRemaining time.Duration
	// WarmupRemaining is how much longer the server is slow after its start.
	WarmupRemaining time.Duration
	Models          []LoadedModel
}

// PlatformName returns the name that the platform and the server itself use. Requests and
// orders are addressed to it.
func (e Entry) PlatformName() string { return cmp.Or(e.Name, e.ID) }

// InstanceID returns the ID of one instance of a server: its name where the platform names
// each instance anew, otherwise the name with the start time.
func InstanceID(name string, startedAt time.Time) string {
	if startedAt.IsZero() {
		return name
	}
	return name + "@" + strconv.FormatInt(startedAt.UnixMilli(), 10)
}

// sameUse reports whether both entries say the same about which requests a server gets. The times
// until a server is warm or has drained count down between heartbeats and do not matter in detail.
func (e Entry) sameUse(other Entry) bool {
	return e.ID == other.ID && e.Name == other.Name && e.StartedAt.Equal(other.StartedAt) && e.Service == other.Service &&
		e.Address == other.Address && e.Domain == other.Domain && e.SoftwareVersion == other.SoftwareVersion && e.Slots == other.Slots && e.Draining == other.Draining &&
		(e.WarmupRemaining > 0) == (other.WarmupRemaining > 0) && slices.EqualFunc(e.Models, other.Models, LoadedModel.equal)
}

// HasModel reports whether the entry lists the model, and the adapter when one is named.
func (e Entry) HasModel(model, adapter string) bool {
	for _, m := range e.Models {
		if m.Model == model {
			return adapter == "" || slices.Contains(m.Adapters, adapter)
		}
	}
	return false
}
