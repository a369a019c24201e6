package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Config holds the settings and dependencies of a Daemon.
type Config struct {
	Name          string
	FailureDomain string
	Listen        string
	PeerListen    string

	PlatformURL     string
	PlatformKey     string
	PlatformTimeout time.Duration

	LinkKeys     link.Keys
	CallersByKey map[string]string
	Limits       Limits
	DrainTimeout time.Duration
	// ClaimShards is the number of shards of the idempotency keys; it must be
	// the same on all VMs. ClaimInterval is the minimum time between two
	// updates of a shard.
	ClaimShards   int
	ClaimInterval time.Duration
	// UnbatchedClaims writes each claim by itself. Baseline admits every
	// request at once, sends it to the server with the lowest reported load and
	// retries without a budget. Both serve as comparisons.
	UnbatchedClaims bool
	Baseline        bool
	// Placement is "" for the planner, or "static" or "swap" for its baselines.
	Placement string
	// MaxModelLoads and MaxAdapterLoads limit the concurrent loads of models
	// and adapters from the weight store, over all failure domains.
	MaxModelLoads     int
	MaxAdapterLoads   int
	RetryShare        float64
	HeartbeatInterval time.Duration
	DeadAfter         time.Duration
	// Fanout is how many VMs of the failure domain get each round of
	// heartbeats, and GossipBytes bounds a frame of heartbeats; 0 selects the
	// defaults.
	Fanout      int
	GossipBytes int
	// SeedVMs are the VMs to contact when the platform is unreachable.
	SeedVMs       []wire.VM
	MaxFrameBytes int64
	TLS           *tls.Config

	Log zerolog.Logger
	// PlatformHTTP and BackendHTTP are the clients for the platform and for
	// backend servers; nil creates new ones. Tests inject network failures
	// here. A VM keeps in BackendHTTP what servers ask of it, so VMs must not
	// share one.
	PlatformHTTP *httpx.Client
	BackendHTTP  *httpx.Client
	// PeerDial opens the links to peers; nil uses TCP.
	PeerDial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now is the clock; nil selects the system clock.
	Now func() time.Time
	// RandomSeed seeds the random choices; 0 selects a random seed.
	RandomSeed uint64
}

// ConfigFrom returns the Config of a VM from validated settings.
func ConfigFrom(s *conf.Settings, vm conf.VM, log zerolog.Logger) (Config, error) {
	tlsConfig, err := LoadTLS(s)
	if err != nil {
		return Config{}, err
	}
	return Config{
		Name: vm.Name(), FailureDomain: vm.FailureDomain(), Listen: vm.Listen(), PeerListen: vm.PeerListen(),
		PlatformURL: "http://" + s.Text("platform", "address"), PlatformKey: s.Text("platform", "key"),
		PlatformTimeout: s.Duration("platform", "timeout"),
		LinkKeys:        link.Keys{Peer: s.Text("peers", "key"), Operator: s.Text("peers", "operator_key")},
		CallersByKey:    s.Callers(),
		Limits: Limits{
			MemoryMB: s.Int("limits", "memory_mb"), Descriptors: s.Int("limits", "descriptors"),
			HeaderBytes: s.Int("limits", "header_bytes"), BodyBytes: int64(s.Int("limits", "body_bytes")),
			PromptBytes: s.Int("limits", "prompt_bytes"), ResponseBytes: int64(s.Int("limits", "answer_bytes")),
			ReadTimeout: s.Duration("limits", "read_timeout"), WriteTimeout: s.Duration("limits", "write_timeout"),
		},
		DrainTimeout: s.Duration("limits", "drain_timeout"), RetryShare: s.Float("limits", "retry_share"),
		ClaimShards: s.Int("claims", "shards"), ClaimInterval: s.Duration("claims", "interval"),
		MaxModelLoads: s.Int("weight_store", "loads_at_full_speed"), MaxAdapterLoads: s.Int("weight_store", "adapters_in_transit"),
		HeartbeatInterval: s.Duration("peers", "heartbeat"), DeadAfter: s.Duration("peers", "dead_after"),
		Fanout: s.Int("peers", "fanout"), GossipBytes: s.Int("peers", "gossip_bytes"), SeedVMs: seedVMs(s, vm),
		MaxFrameBytes: int64(s.Int("peers", "max_frame_bytes")),
		TLS:           tlsConfig, Log: log,
	}, nil
}

// seedVMs returns all VMs of the settings but the VM itself.
func seedVMs(s *conf.Settings, own conf.VM) []wire.VM {
	var vms []wire.VM
	for _, vm := range s.VMs() {
		if vm.Name() != own.Name() {
			vms = append(vms, vm.Document())
		}
	}
	return vms
}

// LoadTLS returns the TLS configuration of the links, or nil when the settings
// name no certificate.
func LoadTLS(s *conf.Settings) (*tls.Config, error) {
	certificate, key := s.Text("peers", "certificate_file"), s.Text("peers", "private_key_file")
	if certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	authority := s.Text("peers", "authority_file")
	if authority == "" {
		return c, nil
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s contains no PEM certificate", authority)
	}
	c.RootCAs = pool
	return c, nil
}
