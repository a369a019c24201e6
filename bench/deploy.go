package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const readyTimeout = time.Minute

// shape is a made-up deployment of one pool of engines and one of services.
type shape struct {
	domains      int
	vmsPerDomain int
	engines      int
	services     int
	slots        int
	first        time.Duration
	between      time.Duration
	lateness     time.Duration
	extra        string
}

// settings returns the checked settings of a shape.
func (s shape) settings() (*conf.Settings, error) {
	var b strings.Builder
	var domains []string
	for i := range s.domains {
		domains = append(domains, fmt.Sprintf("domain-%d", i+1))
	}
	fmt.Fprintf(&b, "[deployment]\nname = bench\nfailure_domains = %s\n", strings.Join(domains, ", "))
	fmt.Fprint(&b, "[platform]\naddress = 127.0.0.1:1000\n")
	fmt.Fprint(&b, "[peers]\nkey = peer-key-0123456789\noperator_key = operator-key-0123456789\n")
	fmt.Fprint(&b, "[weight_store]\nloads_per_second = 100\nloads_at_full_speed = 100\nmodel_load = 50ms\n")
	fmt.Fprintf(&b, "[pool llm]\nservers = %d\nfirst_address = 127.0.0.1:2000\nslots = %d\nfirst_token = %v\nbetween_tokens = %v\n",
		s.engines, s.slots, s.first, s.between)
	if s.lateness > 0 {
		fmt.Fprintf(&b, "order_lateness = %v\n", s.lateness)
	}
	if s.services > 0 {
		fmt.Fprintf(&b, "[pool desk]\nbackend = service\nservers = %d\nfirst_address = 127.0.0.1:3000\n", s.services)
	}
	port := 4000
	for _, domain := range domains {
		for i := range s.vmsPerDomain {
			fmt.Fprintf(&b, "[vm %s-%d]\nfailure_domain = %s\nlisten = 127.0.0.1:%d\npeer_listen = 127.0.0.1:%d\n", domain, i+1, domain, port, port+1)
			port += 2
		}
	}
	b.WriteString(s.extra)
	settings, err := conf.Parse([]byte(b.String()))
	if err != nil {
		return nil, fmt.Errorf("settings of the experiment: %w", err)
	}
	return settings, nil
}

// start runs a shape with profiles and waits until it is ready.
func (s shape) start(ctx context.Context, o Options, profiles []wire.Profile, adjust func(*entry.Config)) (*demo.Deployment, error) {
	settings, err := s.settings()
	if err != nil {
		return nil, err
	}
	w, err := demo.Start(ctx, demo.Options{
		Settings: settings, Profiles: profiles, Preload: true, Seed: o.Seed, Log: zerolog.Nop(), AdjustVM: adjust,
	})
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := w.WaitReady(ready); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// engineProfile returns a profile of small models on the engines.
func engineProfile(name string, models, runs int) wire.Profile {
	p := profs.Defaults()
	p.Name, p.Pool, p.RunsAllowed = name, "llm", runs
	for i := range models {
		p.Models = append(p.Models, wire.Model{Name: fmt.Sprintf("%s-%d", name, i+1), Version: 1, Bytes: 1 << 30})
	}
	return p
}

// serviceProfile returns a profile of the plain services.
func serviceProfile(name string, runs int) wire.Profile {
	p := profs.Defaults()
	p.Name, p.Pool, p.Backend, p.RunsAllowed = name, "desk", wire.ProfileBackendService, runs
	return p
}
