package conf

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Settings is a checked settings file.
type Settings struct {
	file   *ini.File
	schema schema
}

// Load reads and checks a settings file. Its faults are a FaultsError.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// LoadNode reads and checks the settings file of one VM.
func LoadNode(path string) (*Settings, error) { return load(path, ParseNode) }

func load(path string, parse func([]byte) (*Settings, error)) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", trace.ConvertSystemError(err))
	}
	return parse(data)
}

// Parse checks the text of a deployment's settings file.
func Parse(data []byte) (*Settings, error) {
	return parse(data, deploymentSchema, (*checker).checkReferences)
}

// ParseNode checks the text of one VM's settings file.
func ParseNode(data []byte) (*Settings, error) {
	return parse(data, nodeSchema, func(*checker, *Settings) {})
}

func parse(data, rules []byte, references func(*checker, *Settings)) (*Settings, error) {
	s, err := loadSchema(rules)
	if err != nil {
		return nil, err
	}
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return nil, trace.BadParameter("settings are not INI: %v", err)
	}
	c := &checker{schema: s, file: file}
	c.check()
	settings := &Settings{file: file, schema: s}
	if len(c.faults) == 0 {
		references(c, settings)
	}
	if len(c.faults) > 0 {
		return nil, &FaultsError{Faults: c.faults}
	}
	return settings, nil
}

// checkReferences finds values that contradict other sections.
func (c *checker) checkReferences(s *Settings) {
	domains := s.FailureDomains()
	used := make(map[string]string)
	claim := func(section, key, address string) {
		if first, taken := used[address]; taken {
			c.add(section, key, address, "an address that ["+first+"] does not use")
		}
		used[address] = section
	}
	claim("platform", "address", s.Text("platform", "address"))
	for _, vm := range s.VMs() {
		section := "vm " + vm.Name()
		if !slices.Contains(domains, vm.FailureDomain()) {
			c.add(section, "failure_domain", vm.FailureDomain(), "one of "+strings.Join(domains, ", "))
		}
		claim(section, "listen", vm.Listen())
		claim(section, "peer_listen", vm.PeerListen())
	}
	for _, p := range s.Pools() {
		for _, server := range p.Servers(domains) {
			claim("pool "+p.Name(), "first_address", server.Address)
		}
	}
}

// value returns a key's text or its default.
func (s *Settings) value(section, key string) string {
	if sec, err := s.file.GetSection(section); err == nil && sec.HasKey(key) {
		return sec.Key(key).Value()
	}
	rules, _ := s.schema.section(section)
	r, _ := lookup(rules, key)
	if r.fallback == required {
		return ""
	}
	return r.fallback
}

// Text returns the value of a key, or its default.
func (s *Settings) Text(section, key string) string { return s.value(section, key) }

// Int returns a whole number.
func (s *Settings) Int(section, key string) int { return int(number(s.value(section, key))) }

// Float returns a number.
func (s *Settings) Float(section, key string) float64 { return number(s.value(section, key)) }

// Duration returns a duration.
func (s *Settings) Duration(section, key string) time.Duration {
	return duration(s.value(section, key))
}

// Bool returns a truth value.
func (s *Settings) Bool(section, key string) bool { return s.value(section, key) == "true" }

// FailureDomains returns the names of the failure domains.
func (s *Settings) FailureDomains() []string {
	return splitNames(s.value("deployment", "failure_domains"))
}

// Callers returns the callers' names by their keys; empty when callers are not
// checked.
func (s *Settings) Callers() map[string]string {
	names := make(map[string]string)
	section, err := s.file.GetSection("callers")
	if err != nil {
		return names
	}
	for _, key := range section.Keys() {
		names[key.Value()] = key.Name()
	}
	return names
}

// named returns the names of the sections of a repeated kind.
func (s *Settings) named(kind string) []string {
	var names []string
	for _, section := range s.file.SectionStrings() {
		if k, name, ok := strings.Cut(section, " "); ok && k == kind {
			names = append(names, name)
		}
	}
	return names
}

// VM is the settings of one entry VM.
type VM struct {
	name     string
	settings *Settings
}

// VMs returns the entry VMs in the order of the file.
func (s *Settings) VMs() []VM {
	var vms []VM
	for _, name := range s.named("vm") {
		vms = append(vms, VM{name: name, settings: s})
	}
	return vms
}

// VM returns the named VM.
func (s *Settings) VM(name string) (VM, error) {
	for _, vm := range s.VMs() {
		if vm.name == name {
			return vm, nil
		}
	}
	return VM{}, trace.NotFound("the settings have no [vm %s]", name)
}

// Name returns the VM's name.
func (v VM) Name() string { return v.name }

// FailureDomain returns where the VM is.
func (v VM) FailureDomain() string { return v.settings.Text("vm "+v.name, "failure_domain") }

// Listen returns the address for callers.
func (v VM) Listen() string { return v.settings.Text("vm "+v.name, "listen") }

// PeerListen returns the address for peers and operators.
func (v VM) PeerListen() string { return v.settings.Text("vm "+v.name, "peer_listen") }

// Document returns the VM as the platform lists it.
func (v VM) Document() wire.VM {
	return wire.VM{Name: v.name, FailureDomain: v.FailureDomain(), PeerAddress: v.PeerListen()}
}

// Pool is the settings of a pool of backend servers.
type Pool struct {
	name     string
	settings *Settings
}

// Pools returns the pools in the order of the file.
func (s *Settings) Pools() []Pool {
	var pools []Pool
	for _, name := range s.named("pool") {
		pools = append(pools, Pool{name: name, settings: s})
	}
	return pools
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

func (p Pool) section() string { return "pool " + p.name }

// IsService reports whether the servers are plain services.
func (p Pool) IsService() bool { return p.settings.Text(p.section(), "backend") == "service" }

// MemoryBytes returns the accelerator memory of a server.
func (p Pool) MemoryBytes() int { return p.settings.Int(p.section(), "memory_gib") << 30 }

// KVBytes returns the part of the memory kept for the KV cache.
func (p Pool) KVBytes() int { return p.settings.Int(p.section(), "kv_gib") << 30 }

// Slots returns how many streams a server batches at once.
func (p Pool) Slots() int { return p.settings.Int(p.section(), "slots") }

// FirstToken returns the stand-in's time to the first token.
func (p Pool) FirstToken() time.Duration { return p.settings.Duration(p.section(), "first_token") }

// BetweenTokens returns the stand-in's time between tokens.
func (p Pool) BetweenTokens() time.Duration {
	return p.settings.Duration(p.section(), "between_tokens")
}

// ChecksFencing reports whether the servers refuse old fencing numbers.
func (p Pool) ChecksFencing() bool { return p.settings.Bool(p.section(), "checks_fencing") }

// Servers returns the pool's servers, dealt out to the failure domains in
// turn, on consecutive ports.
func (p Pool) Servers(domains []string) []wire.Server {
	first, err := netip.ParseAddrPort(p.settings.Text(p.section(), "first_address"))
	if err != nil {
		return nil
	}
	backend := wire.ServerBackend(p.settings.Text(p.section(), "backend"))
	servers := make([]wire.Server, p.settings.Int(p.section(), "servers"))
	for i := range servers {
		servers[i] = wire.Server{
			Name:          fmt.Sprintf("%s-%d", p.name, i+1),
			FailureDomain: domains[i%len(domains)],
			Pool:          p.name,
			Backend:       backend,
			Address:       netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String(),
			MemoryBytes:   p.MemoryBytes() - p.KVBytes(),
			ChecksFencing: p.ChecksFencing(),

			OrderLatenessMs: int(p.settings.Duration(p.section(), "order_lateness").Milliseconds()),
		}
	}
	return servers
}
