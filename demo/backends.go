package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// AddBackend starts a backend server of a service. The index determines its ID, its failure domain
// and, for a model server, the model that is loaded at the start.
func (s *Site) AddBackend(service string, index int) (*stand.Backend, error) {
	return s.AddBackendOf(service, index, "")
}

// AddBackendOf does the same with a software version, empty for the one that all have at first.
func (s *Site) AddBackendOf(service string, index int, version string) (*stand.Backend, error) {
	b := &stand.Backend{
		ID: fmt.Sprintf("%s-%d", service, index), Service: service, Domain: fmt.Sprintf("domain-%d", index%siteDefaultCount), Slots: 8, ProcessingTime: cmp.Or(s.options.WorkTime, siteWorkTime), Runs: s.Runs, Teams: s.Teams,
	}
	b.SetSoftwareVersion(version)
	if service == SiteModelService {
		b.MemoryMB, b.AdapterSlots, b.LoadTime, b.StreamEvents = siteMemoryMB, 4, siteLoadTime, SiteStreamEvents
		b.ProcessingTime = cmp.Or(s.options.WorkTime/SiteStreamEvents, siteWorkTime)
		b.ModelSizeMB = make(map[string]float64)
		for _, m := range SiteModels {
			b.ModelSizeMB[m] = siteModelMB
		}
		b.AddModels(SiteModels[index%len(SiteModels)])
	}
	if s.options.SilenceInterval > 0 {
		b.SetSilences(s.options.SilenceInterval, rand.New(rand.NewPCG(s.options.Seed, xxhash.Sum64String(b.ID))))
	}
	b.CrashPart = s.options.CrashPart
	b.CrashBody, b.OnCrash = s.options.CrashBody, func() { s.crashBackend(b) }
	b.OnChange = func() { s.writeEntry(b) }
	if err := s.startBackend(b); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.backends = append(s.backends, b)
	s.mu.Unlock()
	s.writeEntry(b)
	return b, nil
}

// startBackend serves a backend server on a new address.
func (s *Site) startBackend(b *stand.Backend) error {
	server, l, err := s.serve(platform.NewBackendHandler(b))
	if err != nil {
		return fmt.Errorf("start backend server: %w", err)
	}
	address := l.Addr().String()
	if s.options.RegisteredAddress != nil {
		if address, err = s.options.RegisteredAddress(b.ID, address); err != nil {
			return fmt.Errorf("get registered address of backend server: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backendAddresses[b.ID], s.backendServers[b.ID], s.backendListeners[b.ID] = address, server, l
	return nil
}

// SetSilent makes the host of a backend server silent: it acknowledges, receives and accepts nothing, or goes on as
// if nothing had been.
func (s *Site) SetSilent(b *stand.Backend, silent bool) error {
	s.mu.Lock()
	l := s.backendListeners[b.ID]
	s.mu.Unlock()
	return l.SetSilent(silent)
}

// ReleaseBackend replaces the process of a backend server with one of another software version, which comes back under
// its ID.
func (s *Site) ReleaseBackend(b *stand.Backend, version string) {
	b.SetSoftwareVersion(version)
	s.crashBackend(b)
}

// RemoveBackend lets a backend server that drains leave: it goes on serving for siteDrainTime, ends when its requests have
// ended, and its entry goes.
func (s *Site) RemoveBackend(b *stand.Backend) error {
	time.Sleep(siteDrainTime)
	s.mu.Lock()
	server := s.backendServers[b.ID]
	delete(s.backendServers, b.ID)
	s.backends = slices.DeleteFunc(s.backends, func(other *stand.Backend) bool { return other == b })
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return fmt.Errorf("wait for the requests of server %s: %w", b.ID, err)
	}
	s.Objects.Delete(platform.ServerKind, b.ID)
	return nil
}

const (
	// siteDrainTime is how long a backend server goes on serving after it has reported that it drains, as the platform
	// promises.
	siteDrainTime = 2 * time.Second
	// removeTimeout is how long the requests of a backend server that leaves may last.
	removeTimeout = 30 * time.Second
)

// crashBackend closes the listener and connections of a backend server and restarts it after
// siteRestartDelay.
func (s *Site) crashBackend(b *stand.Backend) {
	s.mu.Lock()
	server := s.backendServers[b.ID]
	delete(s.backendServers, b.ID)
	s.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(siteRestartDelay, func() {
		err := s.startBackend(b)
		if errors.Is(err, errSiteClosed) {
			return
		}
		if err != nil {
			s.options.Log.Error().Err(err).Str("server", b.ID).Msg("backend server restart failed")
			return
		}
		b.Restart(time.Now())
	})
}

// writeEntry writes a backend server's entry to the store.
func (s *Site) writeEntry(b *stand.Backend) {
	e := b.Entry()
	s.mu.Lock()
	e.Address = s.backendAddresses[b.ID]
	s.mu.Unlock()
	value, err := platform.EncodeEntry(e)
	if err != nil {
		s.options.Log.Error().Err(err).Msg("entry not written")
		return
	}
	if _, err := s.Objects.Put(platform.ServerKind, b.ID, -1, value); err != nil {
		s.options.Log.Error().Err(err).Msg("entry not written")
	}
}

// WriteEntries writes the entries of all backend servers again, as servers do when the store has come back from a copy.
func (s *Site) WriteEntries() {
	s.mu.Lock()
	list := slices.Clone(s.backends)
	s.mu.Unlock()
	for _, b := range list {
		s.writeEntry(b)
	}
}

// Backends returns the backend servers of a service.
func (s *Site) Backends(service string) []*stand.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*stand.Backend
	for _, b := range s.backends {
		if b.Service == service {
			list = append(list, b)
		}
	}
	return list
}
