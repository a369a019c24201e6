package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// KindServer is the kind of the platform objects that describe backend servers.
const KindServer = "servers"

// watchElectionInterval is the time between two checks whether this VM is
// elected to watch.
const watchElectionInterval = 500 * time.Millisecond

// watchProfiles updates the profiles in force from the platform.
func (d *Daemon) watchProfiles(ctx context.Context) {
	d.watchWhileElected(ctx, "profiles", d.profilesSynced.Load, func(ctx context.Context) {
		d.store.ListAndWatch(ctx, profs.ObjectKind, d.applyProfileListing, d.applyProfileEvent)
	})
}

func (d *Daemon) applyProfileListing(list store.Listing) {
	listed := make(map[string]bool)
	for _, obj := range list.Items {
		listed[obj.Name] = true
		d.applyDocument(profilePrefix+obj.Name, obj.Version, string(obj.Value))
	}
	d.profiles.RetireMissing(list.Version, listed)
	d.profilesSynced.Store(true)
}

func (d *Daemon) applyProfileEvent(e store.Event) {
	if e.Type != store.EventDelete {
		d.applyDocument(profilePrefix+e.Name, e.Version, string(e.Value))
		return
	}
	if d.profiles.Retire(e.Version, e.Name) {
		d.peers.broadcast(d.baseCtx, profilePrefix+e.Name)
	}
}

// applyProfile applies a document when it is valid and newer. A document that
// was not written with the operators' tool may be neither.
func (d *Daemon) applyProfile(name string, version int, value json.RawMessage) bool {
	doc, err := profs.Parse(value)
	if err != nil || doc.Name != name {
		d.meter.AddCounter("profile.invalid", 1)
		d.log.Error().Err(err).Str("profile", name).Int("version", version).Msg("invalid profile document")
		return false
	}
	if !d.profiles.Update(version, doc) {
		return false
	}
	d.meter.AddCounter("profile.adopted", 1)
	d.log.Info().Str("profile", name).Int("version", version).Msg("profile applied")
	return true
}

// watchServers updates the list of backend servers from the platform.
func (d *Daemon) watchServers(ctx context.Context) {
	d.watchWhileElected(ctx, "servers", d.serversSynced.Load, func(ctx context.Context) {
		d.store.ListAndWatch(ctx, KindServer, func(list store.Listing) {
			listed := make(map[string]bool)
			for _, obj := range list.Items {
				listed[obj.Name] = true
				d.applyDocument(serverPrefix+obj.Name, obj.Version, string(obj.Value))
			}
			d.activeConfig.removeServers(list.Version, listed)
			d.fleet.SetServers(d.activeConfig.Servers())
			d.serversSynced.Store(true)
		}, func(e store.Event) {
			d.applyDocument(serverPrefix+e.Name, e.Version, string(e.Value))
		})
	})
}
