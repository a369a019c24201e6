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

// deploymentSpec describes a synthetic deployment with a pool of engines and a pool
// of services.
type deploymentSpec struct {
	domains       int
	vmsPerDomain  int
	engines       int
	services      int
	slots         int
	firstToken    time.Duration
	betweenTokens time.Duration
	orderLateness time.Duration
	extraSettings string
}

// settings returns the validated settings of the deployment.
func (s deploymentSpec) settings() (*conf.Settings, error) {
	var text strings.Builder
	var domains []string
	for i := range s.domains {
		domains = append(domains, fmt.Sprintf("domain-%d", i+1))
	}
	fmt.Fprintf(&text, "[deployment]\nname = bench\nfailure_domains = %s\n", strings.Join(domains, ", "))
	fmt.Fprint(&text, "[platform]\naddress = 127.0.0.1:1000\n")
	fmt.Fprint(&text, "[peers]\nkey = peer-key-0123456789\noperator_key = operator-key-0123456789\n")
	fmt.Fprint(&text, "[weight_store]\nloads_per_second = 100\nloads_at_full_speed = 100\nmodel_load = 50ms\n")
	fmt.Fprintf(&text, "[pool llm]\nservers = %d\nfirst_address = 127.0.0.1:2000\nslots = %d\nfirst_token = %v\nbetween_tokens = %v\n",
		s.engines, s.slots, s.firstToken, s.betweenTokens)
	if s.orderLateness > 0 {
		fmt.Fprintf(&text, "order_lateness = %v\n", s.orderLateness)
	}
	if s.services > 0 {
		fmt.Fprintf(&text, "[pool desk]\nbackend = service\nservers = %d\nfirst_address = 127.0.0.1:3000\n", s.services)
	}
	port := 4000
	for _, domain := range domains {
		for i := range s.vmsPerDomain {
			fmt.Fprintf(&text, "[vm %s-%d]\nfailure_domain = %s\nlisten = 127.0.0.1:%d\npeer_listen = 127.0.0.1:%d\n", domain, i+1, domain, port, port+1)
			port += 2
		}
	}
	text.WriteString(s.extraSettings)
	settings, err := conf.Parse([]byte(text.String()))
	if err != nil {
		return nil, fmt.Errorf("parse settings of the experiment: %w", err)
	}
	return settings, nil
}

// start starts the deployment with the profiles and waits until it is ready.
func (s deploymentSpec) start(ctx context.Context, o Options, profiles []wire.Profile, adjustConfig func(*entry.Config)) (*demo.Deployment, error) {
	settings, err := s.settings()
	if err != nil {
		return nil, err
	}
	deployment, err := demo.Start(ctx, demo.Options{
		Settings: settings, Profiles: profiles, Preload: true, Seed: o.Seed, Log: zerolog.Nop(), AdjustVM: adjustConfig,
	})
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := deployment.WaitReady(ready); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

// engineProfile returns a profile of small models that run on engines.
func engineProfile(name string, models, runsAllowed int) wire.Profile {
	p := profs.Defaults()
	p.Name, p.Pool, p.RunsAllowed = name, "llm", runsAllowed
	for i := range models {
		p.Models = append(p.Models, wire.Model{Name: fmt.Sprintf("%s-%d", name, i+1), Version: 1, Bytes: 1 << 30})
	}
	return p
}

// serviceProfile returns a profile that is served by plain services.
func serviceProfile(name string, runsAllowed int) wire.Profile {
	p := profs.Defaults()
	p.Name, p.Pool, p.Backend, p.RunsAllowed = name, "desk", wire.ProfileBackendService, runsAllowed
	return p
}
