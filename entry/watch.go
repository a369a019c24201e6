package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// KindServer is the kind of the platform's objects that list backend servers.
const KindServer = "servers"

// watchCheck is the time between two looks whether this VM is to watch.
const watchCheck = 500 * time.Millisecond

// followProfiles keeps the profiles in force up to date, from the platform.
func (d *Daemon) followProfiles(ctx context.Context) {
	d.whileWatching(ctx, "profiles", d.caughtProfiles.Load, func(ctx context.Context) {
		d.store.ListAndWatch(ctx, profs.ObjectKind, d.takeProfileListing, d.takeProfileEvent)
	})
}

func (d *Daemon) takeProfileListing(list store.Listing) {
	listed := make(map[string]bool)
	for _, obj := range list.Items {
		listed[obj.Name] = true
		d.adopt(profilePrefix+obj.Name, obj.Version, string(obj.Value))
	}
	d.profiles.RetireMissing(list.Version, listed)
	d.caughtProfiles.Store(true)
}

func (d *Daemon) takeProfileEvent(e store.Event) {
	if e.Type != store.EventDelete {
		d.adopt(profilePrefix+e.Name, e.Version, string(e.Value))
		return
	}
	if d.profiles.Retire(e.Version, e.Name) {
		d.peers.spread(d.base, profilePrefix+e.Name)
	}
}

// adoptProfile puts a document in force when it is valid and newer. One that
// somebody wrote past the operators' tool may be neither.
func (d *Daemon) adoptProfile(name string, version int, value json.RawMessage) bool {
	doc, err := profs.Parse(value)
	if err != nil || doc.Name != name {
		d.meter.AddCounter("profile.invalid", 1)
		d.log.Error().Err(err).Str("profile", name).Int("version", version).Msg("profile document not valid")
		return false
	}
	if !d.profiles.Update(version, doc) {
		return false
	}
	d.meter.AddCounter("profile.adopted", 1)
	d.log.Info().Str("profile", name).Int("version", version).Msg("profile in force")
	return true
}

// followServers keeps the list of backend servers up to date, from the
// platform.
func (d *Daemon) followServers(ctx context.Context) {
	d.whileWatching(ctx, "servers", d.caughtServers.Load, func(ctx context.Context) {
		d.store.ListAndWatch(ctx, KindServer, func(list store.Listing) {
			listed := make(map[string]bool)
			for _, obj := range list.Items {
				listed[obj.Name] = true
				d.adopt(serverPrefix+obj.Name, obj.Version, string(obj.Value))
			}
			d.configs.removeServers(list.Version, listed)
			d.fleet.SetServers(d.configs.Servers())
			d.caughtServers.Store(true)
		}, func(e store.Event) {
			d.adopt(serverPrefix+e.Name, e.Version, string(e.Value))
		})
	})
}
