package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

var standinCommand = command{
	name: "standin", args: "platform|engine|service -settings FILE [-server NAME]",
	summary: "run a small stand-in of an outside system, for trying things out",
	examples: []string{
		"standin platform -settings sample/vadodara.ini",
		"standin engine -settings sample/vadodara.ini -server label-llm-1",
		"standin service -settings sample/vadodara.ini -server label-desk-1",
	},
	run: standin,
}

func standin(ctx context.Context, fs *flag.FlagSet, args []string) error {
	file := fs.String("settings", "", "settings `FILE`")
	server := fs.String("server", "", "`NAME` of the backend server to stand in for; all of the kind by default")
	seed := fs.Uint64("seed", 1, "`SEED` of the faults that strike at random")
	if len(args) == 0 {
		return misuse("one of platform, engine, service must be named")
	}
	kind := args[0]
	if kind == "-h" || kind == "--help" {
		return flag.ErrHelp
	}
	if err := parse(fs, args[1:]); err != nil {
		return err
	}
	if *file == "" {
		return misuse("-settings must be given")
	}
	settings, err := conf.Load(*file)
	if err != nil {
		return err
	}
	chance := seededChance(*seed)
	switch kind {
	case "platform":
		return standinPlatform(ctx, settings, chance)
	case "engine", "service":
		return standinServers(ctx, settings, kind == "service", *server, chance)
	}
	return misuse("%q is not one of platform, engine, service", kind)
}

func seededChance(seed uint64) func() float64 {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 3))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
}

// standinPlatform serves the object API, with the deployment's servers and VMs
// entered, and the weight store.
func standinPlatform(ctx context.Context, s *conf.Settings, chance func() float64) error {
	p := &stand.Platform{
		WritesPerSecond: s.Float("platform", "writes_per_second"), ReadsPerSecond: s.Float("platform", "reads_per_second"),
		Key: s.Text("platform", "key"), Chance: chance,
	}
	p.SetFaults(stand.PlatformFaults{ListLagMs: int(s.Duration("platform", "list_lag").Milliseconds())})
	for _, pool := range s.Pools() {
		for _, doc := range pool.Servers(s.FailureDomains()) {
			data, err := json.Marshal(doc)
			if err != nil {
				return fmt.Errorf("encode server: %w", err)
			}
			p.Put(entry.KindServer, doc.Name, 0, data)
		}
	}
	for _, vm := range s.VMs() {
		p.SetVM(vm.Document())
	}
	mux := http.NewServeMux()
	mux.Handle("/", p.Handler())
	mux.Handle("POST /weights", demo.NewWeightStore(s).Handler())
	return listen(ctx, map[string]http.Handler{s.Text("platform", "address"): mux})
}

// standinServers serves the engines or services of the settings.
func standinServers(ctx context.Context, s *conf.Settings, service bool, only string, chance func() float64) error {
	handlers := make(map[string]http.Handler)
	runs := &stand.Runs{}
	weights := stand.WeightsClient("http://" + s.Text("platform", "address"))
	for _, pool := range s.Pools() {
		if pool.IsService() != service {
			continue
		}
		for _, doc := range pool.Servers(s.FailureDomains()) {
			if only != "" && doc.Name != only {
				continue
			}
			handlers[doc.Address] = newStandin(pool, doc, weights, runs, chance)
		}
	}
	if len(handlers) == 0 {
		return misuse("the settings have no such server %q", only)
	}
	return listen(ctx, handlers)
}

func newStandin(pool conf.Pool, doc wire.Server, fetch func(context.Context, wire.Order) error, runs *stand.Runs, chance func() float64) http.Handler {
	if pool.IsService() {
		s := &stand.Service{Name: doc.Name, Runs: runs, Chance: chance}
		return s.Handler()
	}
	e := demo.NewEngine(pool, doc.Name)
	e.Fetch, e.Runs, e.Chance = fetch, runs, chance
	return e.Handler()
}

// listen serves each address until ctx ends.
func listen(ctx context.Context, handlers map[string]http.Handler) error {
	failed := make(chan error, len(handlers))
	var servers []*http.Server
	for address, h := range handlers {
		s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 10 * time.Second}
		servers = append(servers, s)
		go func() { failed <- s.ListenAndServe() }()
		fmt.Fprintln(os.Stderr, "listening on", address)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	for _, s := range servers {
		_ = s.Close()
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}
