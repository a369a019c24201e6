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

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/entry"
	"github.com/hibiscuscart/hibiscuscart/guard"
	"github.com/hibiscuscart/hibiscuscart/stand"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

var standinCommand = command{
	name: "standin", args: "platform|engine|service -settings FILE [-server NAME]",
	summary: "simulate the platform, engines or services, for development and tests",
	examples: []string{
		"standin platform -settings sample/vadodara.ini",
		"standin engine -settings sample/vadodara.ini -server label-llm-1",
		"standin service -settings sample/vadodara.ini -server label-desk-1",
	},
	run: runStandin,
}

func runStandin(ctx context.Context, fs *flag.FlagSet, args []string) error {
	file := fs.String("settings", "", "settings `FILE`")
	server := fs.String("server", "", "`NAME` of the backend server to simulate; by default all of the kind")
	seed := fs.Uint64("seed", 1, "`SEED` of the random faults")
	if len(args) == 0 {
		return usageErrorf("one of platform, engine, service is required")
	}
	kind := args[0]
	if kind == "-h" || kind == "--help" {
		return flag.ErrHelp
	}
	if err := parseFlags(fs, args[1:]); err != nil {
		return err
	}
	if *file == "" {
		return usageErrorf("-settings is required")
	}
	settings, err := conf.Load(*file)
	if err != nil {
		return err
	}
	random := seededRandom(*seed)
	switch kind {
	case "platform":
		return servePlatform(ctx, settings, random)
	case "engine", "service":
		return serveBackendServers(ctx, settings, kind == "service", *server, random)
	}
	return usageErrorf("%q is not one of platform, engine, service", kind)
}

func seededRandom(seed uint64) func() float64 {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 3))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
}

// servePlatform serves the weight store and the object API, with the deployment's
// servers and VMs registered.
func servePlatform(ctx context.Context, s *conf.Settings, random func() float64) error {
	p := &stand.Platform{
		WritesPerSecond: s.Float("platform", "writes_per_second"), ReadsPerSecond: s.Float("platform", "reads_per_second"),
		APIKey: s.Text("platform", "key"), Random: random,
	}
	p.SetFaults(stand.PlatformFaults{VMListDelayMs: int(s.Duration("platform", "list_lag").Milliseconds())})
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
	return listenAndServe(ctx, s, map[string]http.Handler{s.Text("platform", "address"): mux})
}

// serveBackendServers serves the stand-ins for the engines or services in the settings.
func serveBackendServers(ctx context.Context, s *conf.Settings, service bool, serverName string, random func() float64) error {
	handlers := make(map[string]http.Handler)
	runs := &stand.RunCounter{}
	weights := stand.WeightFetcher("http://" + s.Text("platform", "address"))
	for _, pool := range s.Pools() {
		if pool.IsService() != service {
			continue
		}
		for _, doc := range pool.Servers(s.FailureDomains()) {
			if serverName != "" && doc.Name != serverName {
				continue
			}
			handlers[doc.Address] = newStandin(pool, doc, weights, runs, random)
		}
	}
	if len(handlers) == 0 {
		return usageErrorf("no matching server %q in the settings", serverName)
	}
	return listenAndServe(ctx, s, handlers)
}

func newStandin(pool conf.Pool, doc wire.Server, fetch func(context.Context, wire.Order) error, runs *stand.RunCounter, random func() float64) http.Handler {
	if pool.IsService() {
		s := &stand.Service{Name: doc.Name, Runs: runs, Random: random}
		return s.Handler()
	}
	e := demo.NewEngine(pool, doc.Name)
	e.FetchWeights, e.Runs, e.Random = fetch, runs, random
	return e.Handler()
}

const (
	// standinShare is the share of the descriptors that connections to all stand-ins of a process may take.
	standinShare = 0.5
	// standinHeadBytes bounds the heads of requests to stand-ins.
	standinHeadBytes = 64 << 10
)

// listenAndServe serves each address until ctx ends, within the bounds of the machine.
func listenAndServe(ctx context.Context, settings *conf.Settings, handlers map[string]http.Handler) error {
	limitMemory(settings)
	machine := guard.MachineMemory(settings.Int("limits", "memory_mb"))
	memory := int64(guard.MemoryShare * float64(machine))
	g := &guard.Guard{Memory: func() int64 { return memory }, MaxUnread: settings.Duration("limits", "write_timeout"), Log: newLogger(settings)}
	go g.Run(ctx, clock.Now)
	maxConns := guard.MaxConns(guard.Descriptors(settings.Int("limits", "descriptors")), standinShare/float64(len(handlers)))
	errs := make(chan error, len(handlers))
	var servers []*http.Server
	var err error
	for address, h := range handlers {
		s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: standinHeadBytes}
		port := g.AddPort(guard.Port{Name: address, MaxConns: maxConns, UnreadBytes: guard.UnreadBytes(machine, maxConns*len(handlers))})
		port.Attach(s)
		l, listenErr := port.Listen(ctx, address)
		if listenErr != nil {
			err = listenErr
			break
		}
		servers = append(servers, s)
		go func() { errs <- s.Serve(port.Listener(l)) }()
		fmt.Fprintln(os.Stderr, "listening on", address)
	}
	if err == nil {
		select {
		case <-ctx.Done():
		case err = <-errs:
		}
	}
	for _, s := range servers {
		_ = s.Close()
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}
