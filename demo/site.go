package demo

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/node"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/stand"
)

// Host and service names of a Site.
const (
	SiteHost         = "site.example"
	SiteModelService = "model-servers"
	SitePlainService = "ledger"
)

// CallDeadline is the time that callers of a Site give a request.
const CallDeadline = 6 * time.Second

// SiteOptions configures a Site.
type SiteOptions struct {
	// VMs is the number of VMs, and Backends the number of backend servers of each of the two
	// services. 0 means three.
	VMs, Backends int
	// WorkTime is how long backend servers take for a request or a whole stream; 0 means siteWorkTime for a
	// request or an event.
	WorkTime time.Duration
	// SilenceInterval is the average time between two silences of a backend server, which is sound and goes on; 0 means
	// none. Seed decides when they begin.
	SilenceInterval time.Duration
	Seed            uint64
	// Grace is how long VMs take at most to stop, and Notice how long they take requests then; 0 means those of the
	// settings of each VM.
	Grace, Notice time.Duration
	// TokensPerEvent is the number of tokens in an event of a stream, 0 if it is not configured.
	TokensPerEvent int
	// NoVMs starts only the store and the backend servers; the test or tool runs the VMs itself.
	NoVMs bool
	// RegisteredAddress returns the address to register for a backend server, such as that of a proxy.
	// If it is nil, the server's own address is registered. It is called again with the same ID after
	// the server has restarted on a different address.
	RegisteredAddress func(id, address string) (string, error)
	// CrashBody is the body of requests that crash the backend server executing them; empty for
	// none. The server restarts without models and on a different address.
	CrashBody string
	// CrashPart is the part of a prompt that does the same, empty for none.
	CrashPart string
	// Routes replaces the routes of SiteRoutes.
	Routes []routes.Route
	// Teams are the teams of the configuration; without any, requests need no key.
	Teams []routes.Team
	Log   zerolog.Logger
}

// Site is a deployment on loopback in one process: stand-ins for the platform's store and for
// backend servers, which use the platform's wire format, and VMs that keep configuration and state
// in that store.
type Site struct {
	Objects *stand.ObjectStore
	Runs    *stand.RunLog
	// Teams records the teams of the requests that ran.
	Teams *stand.TeamLog

	options          SiteOptions
	storeListener    *stand.SilentListener
	mu               sync.Mutex
	backends         []*stand.Backend
	backendAddresses map[string]string
	// backendServers holds the HTTP server of each running backend server, by the backend's ID.
	backendServers map[string]*http.Server
	// backendListeners holds its listener.
	backendListeners map[string]*stand.SilentListener
	httpServers      []*http.Server
	vms              []*siteVM
	closed           bool
}

// siteVM is a VM with the settings that a restart of it uses.
type siteVM struct {
	node                 *node.Node
	settings             *conf.Settings
	closeIdleConnections func()
	// path is the network path to the backend servers.
	path *stand.Path
}

// SiteRoutes returns the default routes of a Site, which cover all kinds of routes.
func SiteRoutes() []routes.Route {
	plain, models := []routes.Target{{Service: SitePlainService, Weight: 1}}, []routes.Target{{Service: SiteModelService, Weight: 1}}
	return []routes.Route{
		{Name: "look", Host: SiteHost, PathPrefix: "/look/", Kind: routes.Idempotent, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, MaxServers: 3, Targets: plain},
		{Name: "book", Host: SiteHost, PathPrefix: "/book/", Kind: routes.AtMostOnce, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, MaxServers: 3, Targets: plain},
		{Name: "draft", Host: SiteHost, PathPrefix: "/draft/", Kind: routes.Stream, Resumable: true, Timeout: 8 * time.Second, Objective: time.Second, MaxEventGap: time.Second, MaxServers: 3, Targets: models},
		{Name: "batch", Host: SiteHost, PathPrefix: "/batch/", Kind: routes.Stream, Timeout: 8 * time.Second, Objective: 4 * time.Second, MaxEventGap: time.Second, MaxServers: 1, Targets: models},
	}
}

const (
	siteMemoryMB = 30
	siteModelMB  = 10
	siteWorkTime = 2 * time.Millisecond
	siteLoadTime = 60 * time.Millisecond
	// siteRestartDelay is the time between the crash of a backend server and its restart.
	siteRestartDelay = 100 * time.Millisecond
	// siteDefaultCount is the default number of VMs, the default number of backend servers of each
	// service, and the number of failure domains.
	siteDefaultCount = 3
)

// SiteStreamEvents is the number of events of a stream of a Site.
const SiteStreamEvents = 8

// SiteModels lists the models that the model servers of a Site can load.
var SiteModels = []string{"m1", "m2", "m3", "m4"}

func (s *Site) services() []routes.Service {
	models := make(map[string]routes.Model)
	for _, m := range SiteModels {
		models[m] = routes.Model{Name: m, SizeMB: siteModelMB, LoadTime: siteLoadTime, MemoryLoadTime: siteLoadTime, DiskLoadTime: siteLoadTime, AdapterCount: 4}
	}
	return []routes.Service{
		{Name: SitePlainService, HealthPath: platform.HealthPath, MaxConns: 100},
		{Name: SiteModelService, HealthPath: platform.HealthPath, MaxConns: 100, Engine: &routes.Engine{
			Slots: 8, KVCacheTokens: 100_000, TokensPerEvent: s.options.TokensPerEvent, WeightMemoryMB: siteMemoryMB, AdapterSlots: 4, StoreLoadsPerSecond: 20, Models: models,
		}},
	}
}

// StartSite starts a Site. The caller must call Close.
func StartSite(ctx context.Context, o SiteOptions) (*Site, error) {
	if o.VMs == 0 {
		o.VMs = siteDefaultCount
	}
	if o.Backends == 0 {
		o.Backends = siteDefaultCount
	}
	if o.Routes == nil {
		o.Routes = SiteRoutes()
	}
	s := &Site{Objects: &stand.ObjectStore{}, Runs: &stand.RunLog{}, Teams: &stand.TeamLog{}, options: o, backendAddresses: make(map[string]string), backendServers: make(map[string]*http.Server), backendListeners: make(map[string]*stand.SilentListener)}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	var err error
	if s.storeListener, err = s.listen(platform.NewStoreHandler(s.Objects)); err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	if err := s.Configure(1, s.options.Routes, s.options.Teams...); err != nil {
		return err
	}
	for i := range s.options.Backends {
		if _, err := s.AddBackend(SitePlainService, i); err != nil {
			return err
		}
		if _, err := s.AddBackend(SiteModelService, i); err != nil {
			return err
		}
	}
	if s.options.NoVMs {
		return nil
	}
	for i := range s.options.VMs {
		if err := s.addVM(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StoreAddress returns the address on which the store listens.
func (s *Site) StoreAddress() string { return s.storeListener.Addr().String() }

// SetStoreSilent makes the host of the store silent, or ends that, as SetSilent does for a backend server.
func (s *Site) SetStoreSilent(silent bool) error { return s.storeListener.SetSilent(silent) }

// Configure writes the routes, services, usual limits and teams to the store, as an operator does.
func (s *Site) Configure(version int, all []routes.Route, teams ...routes.Team) error {
	return s.ConfigureLimits(version, routes.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20}, all, teams...)
}

// ConfigureLimits does the same with other limits.
func (s *Site) ConfigureLimits(version int, limits routes.Limits, all []routes.Route, teams ...routes.Team) error {
	value, err := platform.EncodeTable(version, all, s.services(), limits, teams...)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if _, err := s.Objects.Put(platform.ConfigKind, platform.ConfigName, -1, value); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return nil
}

func (s *Site) listen(h http.Handler) (*stand.SilentListener, error) {
	_, l, err := s.serve(h)
	return l, err
}

var errSiteClosed = errors.New("deployment is closed")

// serve serves a handler on a free loopback port.
func (s *Site) serve(h http.Handler) (*http.Server, *stand.SilentListener, error) {
	l, err := stand.ListenSilent(context.Background(), anyLoopbackPort)
	if err != nil {
		return nil, nil, fmt.Errorf("serve: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		// A delayed restart of a backend server must not open a listener after Close.
		_ = l.Close()
		return nil, nil, errSiteClosed
	}
	s.httpServers = append(s.httpServers, server)
	go func() { _ = server.Serve(l) }()
	return server, l, nil
}

func (s *Site) addVM(ctx context.Context, i int) error {
	text, err := VMSettings(i, s.StoreAddress())
	if err != nil {
		return err
	}
	text = s.options.withDrain(text)
	settings, err := conf.ParseNode(text)
	if err != nil {
		return fmt.Errorf("parse settings of a VM: %w", err)
	}
	vm := &siteVM{settings: settings, path: &stand.Path{}}
	s.mu.Lock()
	s.vms = append(s.vms, vm)
	s.mu.Unlock()
	return s.StartNode(ctx, i)
}

// withDrain returns the settings of a VM with the drain times of the options.
func (o SiteOptions) withDrain(text []byte) []byte {
	if o.Grace > 0 {
		text = bytes.Replace(text, []byte("grace = 5s"), fmt.Appendf(nil, "grace = %s", o.Grace), 1)
	}
	if o.Notice > 0 {
		text = bytes.Replace(text, []byte("notice = 50ms"), fmt.Appendf(nil, "notice = %s", o.Notice), 1)
	}
	return text
}

// StartNode starts the i-th VM. It also restarts a VM after StopNode or KillNode.
func (s *Site) StartNode(ctx context.Context, i int) error {
	vm := s.vms[i]
	client := &http.Client{Transport: httpx.NewTransport(&http.Transport{MaxResponseHeaderBytes: conns.MaxHeadBytes, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return conns.Dial(ctx, address) }})}
	serverClient := &http.Client{Transport: httpx.NewTransport(&http.Transport{MaxResponseHeaderBytes: conns.MaxHeadBytes, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return vm.path.Dial(ctx, address) }})}
	vm.closeIdleConnections = func() {
		client.CloseIdleConnections()
		serverClient.CloseIdleConnections()
	}
	vm.node = node.New(node.Config{
		Settings: vm.settings, HeaderNames: &platform.HeaderNames, InstanceProbe: &platform.InstanceProbe,
		Objects: platform.NewStoreClient(client, s.StoreAddress()), ServerClient: platform.NewServerClient(serverClient), DialServer: vm.path.Dial,
		ConfigKind: platform.ConfigKind, ConfigName: platform.ConfigName, ServerKind: platform.ServerKind,
		DecodeTable: platform.DecodeTable, DecodeEntry: platform.DecodeEntry, CloseIdleStoreConns: client.CloseIdleConnections, Now: clock.Now, Log: s.options.Log,
	})
	if err := vm.node.Start(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("start VM %d: %w", i, err)
	}
	return nil
}

// StopNode stops the i-th VM gracefully.
func (s *Site) StopNode(i int) error { return s.vms[i].node.Stop() }

// KillNode kills the i-th VM without a graceful shutdown.
func (s *Site) KillNode(i int) { s.vms[i].node.Kill() }

// VMAddresses returns the caller-facing addresses of the VMs.
func (s *Site) VMAddresses() []string {
	var list []string
	for _, vm := range s.vms {
		list = append(list, vm.settings.Text("vm", "listen"))
	}
	return list
}

// Path returns the network path from the i-th VM to the backend servers.
func (s *Site) Path(i int) *stand.Path { return s.vms[i].path }

// Node returns the i-th VM.
func (s *Site) Node(i int) *node.Node { return s.vms[i].node }

// WaitReady waits until all VMs are ready and exactly one of them acts as the controller.
func (s *Site) WaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		ready, leading := 0, 0
		for _, vm := range s.vms {
			if vm.node.Ready() {
				ready++
			}
			if vm.node.Leading() {
				leading++
			}
		}
		if ready == len(s.vms) && leading == 1 {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("wait until all VMs are ready with one controller: %w", ctx.Err())
}

// Close kills all VMs and closes the store and the backend servers.
func (s *Site) Close() {
	for _, vm := range s.vms {
		if vm.node != nil {
			vm.node.Kill()
			vm.closeIdleConnections()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, server := range s.httpServers {
		_ = server.Close()
	}
}

// Call sends one request to a VM, with the headers that callers set.
func (s *Site) Call(ctx context.Context, client *http.Client, address, id, method, path, model, body string) (*http.Response, error) {
	return s.CallAfter(ctx, client, address, id, method, path, model, body, Progress{})
}

// Progress is what a caller has of a stream: the attempt that brought its first event, and its last event. The
// zero value is that of a stream that has not begun.
type Progress struct {
	Attempt   string
	LastEvent int
	// Prompt lists the parts of the prompt, as ID:TOKENS pairs; empty for one that begins like all others.
	Prompt string
}

// CallAfter sends one request to a VM which takes a stream up where the caller's earlier attempts left it.
func (s *Site) CallAfter(ctx context.Context, client *http.Client, address, id, method, path, model, body string, p Progress) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Host = SiteHost
	req.Header.Set(platform.HeaderNames.AttemptID, id)
	req.Header.Set(platform.HeaderNames.Deadline, strconv.FormatInt(CallDeadline.Milliseconds(), 10))
	if len(s.options.Teams) > 0 {
		req.Header.Set(platform.HeaderNames.Key, s.options.Teams[0].Keys[0])
	}
	if p.LastEvent > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(p.LastEvent))
		req.Header.Set(platform.HeaderNames.Resumes, p.Attempt)
	}
	if model != "" {
		req.Header.Set(platform.HeaderNames.Model, model)
		req.Header.Set(platform.HeaderNames.TokenUsage, "100,32")
		req.Header.Set(platform.HeaderNames.PromptPrefix, cmp.Or(p.Prompt, "aa:60,"+id+":40"))
	}
	req.Header.Set(platform.HeaderEntryVM, address)
	req.Header.Set(platform.HeaderSentAt, strconv.FormatInt(time.Now().UnixNano(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.Header.Get(platform.HeaderNames.Leaving) != "" {
		s.recordPassedOn(address, ServerStamp(resp))
	}
	return resp, nil
}

// recordPassedOn tells a backend server that a VM has passed on its word that it leaves.
func (s *Site) recordPassedOn(vmAddress, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		if b.ID == server {
			b.RecordPassedOn(time.Now(), vmAddress)
		}
	}
}

// CallWithKey sends an idempotent request to a plain service through a VM, with an API key and a forged
// team.
func (s *Site) CallWithKey(ctx context.Context, client *http.Client, address, id, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/look/"+id, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Host = SiteHost
	req.Header.Set(platform.HeaderNames.AttemptID, id)
	req.Header.Set(platform.HeaderNames.Deadline, "3000")
	req.Header.Set(platform.HeaderNames.Key, key)
	req.Header.Set(platform.HeaderNames.Team, "forged")
	return client.Do(req)
}

// ServerStamp returns the header value by which a server proves that a response is its own, or "".
func ServerStamp(resp *http.Response) string {
	return resp.Header.Get(platform.HeaderNames.ServerStamp)
}
