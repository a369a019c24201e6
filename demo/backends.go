package demo

import (
	"errors"
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// AddBackend starts the n-th backend server of a service.
func (s *Site) AddBackend(service string, n int) (*stand.Backend, error) {
	b := &stand.Backend{
		ID: fmt.Sprintf("%s-%d", service, n), Service: service, Domain: fmt.Sprintf("domain-%d", n%siteCount), Slots: 8, ProcessingTime: siteWork, Runs: s.Runs,
	}
	if service == SiteModel {
		b.MemoryMB, b.AdapterSlots, b.LoadTime, b.StreamEvents = siteMemory, 4, siteLoad, siteEvents
		b.ModelSizeMB = make(map[string]float64)
		for _, m := range SiteModels {
			b.ModelSizeMB[m] = siteModel
		}
		b.AddModels(SiteModels[n%len(SiteModels)])
	}
	b.CrashBody, b.OnCrash = s.options.CrashBody, func() { s.crashBackend(b) }
	b.OnChange = func() { s.enter(b) }
	if err := s.startBackend(b); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.backends = append(s.backends, b)
	s.mu.Unlock()
	s.enter(b)
	return b, nil
}

// startBackend serves a backend server at a new address.
func (s *Site) startBackend(b *stand.Backend) error {
	server, address, err := s.serve(platform.NewBackendHandler(b))
	if err != nil {
		return fmt.Errorf("start backend server: %w", err)
	}
	if s.options.Front != nil {
		if address, err = s.options.Front(b.ID, address); err != nil {
			return fmt.Errorf("front of backend server: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address[b.ID], s.processes[b.ID] = address, server
	return nil
}

// crashBackend closes the listener and connections of a backend server and restarts it after
// siteRestartDelay.
func (s *Site) crashBackend(b *stand.Backend) {
	s.mu.Lock()
	process := s.processes[b.ID]
	delete(s.processes, b.ID)
	s.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Close()
	time.AfterFunc(siteRestartDelay, func() {
		err := s.startBackend(b)
		if errors.Is(err, errSiteClosed) {
			return
		}
		if err != nil {
			s.options.Log.Error().Err(err).Str("server", b.ID).Msg("backend server not restarted")
			return
		}
		b.Restart(time.Now())
	})
}

// enter writes a backend server's entry.
func (s *Site) enter(b *stand.Backend) {
	e := b.Entry()
	s.mu.Lock()
	e.Address = s.address[b.ID]
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
