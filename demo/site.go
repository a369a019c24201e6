package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/node"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Names of the services and the host of a Site.
const (
	SiteHost  = "site.example"
	SiteModel = "model-servers"
	SitePlain = "ledger"
)

// SiteOptions say what a Site runs.
type SiteOptions struct {
	// VMs and Backends are how many of each there are; Backends of each of the
	// two services. 0 takes three.
	VMs, Backends int
	// NoVMs starts only what is outside the system; the caller runs VMs.
	NoVMs bool
	// Front returns the address under which a backend server is listed, for a
	// proxy in front of it; nil lists its own. It is called again with the same ID
	// after the server has restarted at a different address.
	Front func(id, address string) (string, error)
	// CrashBody is the body of requests that crash the backend server executing them; empty for
	// none. The server restarts without models and at a different address.
	CrashBody string
	// Routes replaces the routes of SiteRoutes.
	Routes []routes.Route
	Log    zerolog.Logger
}

// Site is a deployment that keeps everything in the platform's store: stand-ins
// of the store and of backend servers on the platform's wire, and VMs of the
// system, in one process on loopback.
type Site struct {
	Objects *stand.ObjectStore
	Runs    *stand.RunLog

	options  SiteOptions
	storeAt  string
	mu       sync.Mutex
	backends []*stand.Backend
	address  map[string]string
	// processes holds the HTTP server of each running backend server, by the backend's ID.
	processes map[string]*http.Server
	servers   []*http.Server
	nodes     []*siteNode
	closed    bool
}

// siteNode is a VM and its settings, so that it can be started again.
type siteNode struct {
	node     *node.Node
	settings *conf.Settings
	idle     func()
}

// SiteRoutes are the routes of a Site: one of each kind.
func SiteRoutes() []routes.Route {
	plain, models := []routes.Target{{Service: SitePlain, Weight: 1}}, []routes.Target{{Service: SiteModel, Weight: 1}}
	return []routes.Route{
		{Name: "look", Host: SiteHost, PathPrefix: "/look/", Kind: routes.Idempotent, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, MaxServers: 3, Targets: plain},
		{Name: "book", Host: SiteHost, PathPrefix: "/book/", Kind: routes.AtMostOnce, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, MaxServers: 3, Targets: plain},
		{Name: "draft", Host: SiteHost, PathPrefix: "/draft/", Kind: routes.Stream, Resumable: true, Timeout: 8 * time.Second, Objective: time.Second, MaxEventGap: time.Second, MaxServers: 3, Targets: models},
		{Name: "batch", Host: SiteHost, PathPrefix: "/batch/", Kind: routes.Stream, Timeout: 8 * time.Second, Objective: 4 * time.Second, MaxEventGap: time.Second, MaxServers: 1, Targets: models},
	}
}

const (
	siteMemory = 30
	siteModel  = 10
	siteEvents = 8
	siteWork   = 2 * time.Millisecond
	siteLoad   = 60 * time.Millisecond
	// siteRestartDelay is the time between the crash of a backend server and its restart.
	siteRestartDelay = 100 * time.Millisecond
	siteCount        = 3
)

// SiteModels are the models of a Site's model servers.
var SiteModels = []string{"m1", "m2", "m3", "m4"}

func siteServices() []routes.Service {
	models := make(map[string]routes.Model)
	for _, m := range SiteModels {
		models[m] = routes.Model{Name: m, SizeMB: siteModel, LoadTime: siteLoad, MemoryLoadTime: siteLoad, DiskLoadTime: siteLoad, AdapterCount: 4}
	}
	return []routes.Service{
		{Name: SitePlain, MaxConns: 100},
		{Name: SiteModel, MaxConns: 100, Engine: &routes.Engine{
			Slots: 8, KVCacheTokens: 100_000, WeightMemoryMB: siteMemory, AdapterSlots: 4, StoreLoadsPerSecond: 20, Models: models,
		}},
	}
}

// StartSite starts a deployment.
func StartSite(ctx context.Context, o SiteOptions) (*Site, error) {
	if o.VMs == 0 {
		o.VMs = siteCount
	}
	if o.Backends == 0 {
		o.Backends = siteCount
	}
	if o.Routes == nil {
		o.Routes = SiteRoutes()
	}
	s := &Site{Objects: &stand.ObjectStore{}, Runs: &stand.RunLog{}, options: o, address: make(map[string]string), processes: make(map[string]*http.Server)}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	var err error
	if s.storeAt, err = s.listen(platform.NewStoreHandler(s.Objects)); err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	if err := s.Configure(1, s.options.Routes); err != nil {
		return err
	}
	for i := range s.options.Backends {
		if _, err := s.AddBackend(SitePlain, i); err != nil {
			return err
		}
		if _, err := s.AddBackend(SiteModel, i); err != nil {
			return err
		}
	}
	if s.options.NoVMs {
		return nil
	}
	for i := range s.options.VMs {
		if err := s.addNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StoreAddress returns where the store answers.
func (s *Site) StoreAddress() string { return s.storeAt }

// Configure writes the operators' configuration.
func (s *Site) Configure(version int, all []routes.Route) error {
	value, err := platform.EncodeTable(version, all, siteServices(), routes.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20})
	if err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	if _, err := s.Objects.Put(platform.ConfigKind, platform.ConfigName, -1, value); err != nil {
		return fmt.Errorf("configure: %w", err)
	}
	return nil
}

func (s *Site) listen(h http.Handler) (string, error) {
	_, address, err := s.serve(h)
	return address, err
}

var errSiteClosed = errors.New("deployment is closed")

// serve serves a handler on a free loopback port.
func (s *Site) serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		// A delayed restart after Close must not leave a listener open.
		_ = l.Close()
		return nil, "", errSiteClosed
	}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String(), nil
}

// siteSettings is the settings file of a VM of a Site.
const siteSettings = `
[vm]
name = vm-%d
failure_domain = domain-%d
listen = %s
ready_listen = %s
peer_listen = %s
[store]
address = %s
wait = 200ms
[limits]
threads = 8
[steering]
handover = 300ms
lease = 600ms
[retries]
share = 1
extra = 1000
[drain]
grace = 5s
notice = 50ms
`

const (
	// firstPort and ports are where VMs listen: below the ports that the kernel
	// gives to outgoing connections, one of which may otherwise take a port
	// between the look at it and its use.
	firstPort = 12_000
	ports     = 18_000
	portTries = 50
)

// triedPorts holds every port that freePort has tried in this process. It keeps freePort from
// returning a port that is already assigned to a VM that is not listening yet.
var triedPorts sync.Map

// freePort returns a loopback address that nothing listens at now. It returns each address at
// most once per process.
func freePort() (string, error) {
	for range portTries {
		port := firstPort + rand.IntN(ports)
		if _, tried := triedPorts.LoadOrStore(port, true); tried {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address, nil
	}
	return "", fmt.Errorf("no port from %d on is free", firstPort)
}

// VMSettings returns the settings file of the i-th VM of a site, whose store is
// at an address, on ports that are free now.
func VMSettings(i int, storeAddress string) ([]byte, error) {
	var addresses [3]string
	for k := range addresses {
		var err error
		if addresses[k], err = freePort(); err != nil {
			return nil, err
		}
	}
	return fmt.Appendf(nil, siteSettings, i, i%siteCount, addresses[0], addresses[1], addresses[2], storeAddress), nil
}

// ListenAddress returns where a VM with these settings takes callers.
func ListenAddress(text []byte) (string, error) {
	settings, err := conf.ParseNode(text)
	if err != nil {
		return "", fmt.Errorf("settings of a VM: %w", err)
	}
	return settings.Text("vm", "listen"), nil
}

func (s *Site) addNode(ctx context.Context, i int) error {
	text, err := VMSettings(i, s.storeAt)
	if err != nil {
		return err
	}
	settings, err := conf.ParseNode(text)
	if err != nil {
		return fmt.Errorf("settings of a VM: %w", err)
	}
	n := &siteNode{settings: settings}
	s.mu.Lock()
	s.nodes = append(s.nodes, n)
	s.mu.Unlock()
	return s.StartNode(ctx, i)
}

// StartNode starts the i-th VM, again after StopNode or KillNode.
func (s *Site) StartNode(ctx context.Context, i int) error {
	n := s.nodes[i]
	client := &http.Client{Transport: &http.Transport{}}
	n.idle = client.CloseIdleConnections
	n.node = node.New(node.Config{
		Settings: n.settings, HeaderNames: &platform.HeaderNames,
		Objects: platform.NewStoreClient(client, s.storeAt), Commands: platform.NewCommands(client),
		ConfigKind: platform.ConfigKind, ConfigName: platform.ConfigName, ServerKind: platform.ServerKind,
		DecodeTable: platform.DecodeTable, DecodeEntry: platform.DecodeEntry, CloseIdleStoreConns: client.CloseIdleConnections, Now: clock.Now, Log: s.options.Log,
	})
	if err := n.node.Start(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("start VM %d: %w", i, err)
	}
	return nil
}

// StopNode stops the i-th VM in peace.
func (s *Site) StopNode(i int) error { return s.nodes[i].node.Stop() }

// KillNode ends the i-th VM at once.
func (s *Site) KillNode(i int) { s.nodes[i].node.Kill() }

// Addresses returns where the VMs take callers.
func (s *Site) Addresses() []string {
	var list []string
	for _, n := range s.nodes {
		list = append(list, n.settings.Text("vm", "listen"))
	}
	return list
}

// Node returns the i-th VM.
func (s *Site) Node(i int) *node.Node { return s.nodes[i].node }

// WaitReady waits until all VMs are ready and one of them steers.
func (s *Site) WaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		ready, leading := 0, 0
		for _, n := range s.nodes {
			if n.node.Ready() {
				ready++
			}
			if n.node.Leading() {
				leading++
			}
		}
		if ready == len(s.nodes) && leading == 1 {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("not all VMs became ready: %w", ctx.Err())
}

// Close ends everything.
func (s *Site) Close() {
	for _, n := range s.nodes {
		if n.node != nil {
			n.node.Kill()
			n.idle()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// Call sends one request to a VM as a caller would.
func (s *Site) Call(ctx context.Context, client *http.Client, address, id, method, path, model, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Host = SiteHost
	req.Header.Set(platform.HeaderNames.AttemptID, id)
	req.Header.Set(platform.HeaderNames.Deadline, "6000")
	if model != "" {
		req.Header.Set(platform.HeaderNames.Model, model)
		req.Header.Set(platform.HeaderNames.TokenUsage, "100,32")
		req.Header.Set(platform.HeaderNames.PromptPrefix, "aa:60,"+id+":40")
	}
	return client.Do(req)
}

// StampOf returns the proof that an answer is a server's own, "" for none.
func StampOf(resp *http.Response) string { return resp.Header.Get(platform.HeaderNames.ServerStamp) }
