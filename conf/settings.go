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

// Settings is a validated settings file.
type Settings struct {
	file   *ini.File
	schema schema
}

// Load reads and validates the settings file of a deployment. It returns a
// ValidationError if the settings are invalid.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// LoadNode reads and validates the settings file of one VM.
func LoadNode(path string) (*Settings, error) { return load(path, ParseNode) }

func load(path string, parse func([]byte) (*Settings, error)) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", trace.ConvertSystemError(err))
	}
	return parse(data)
}

// Parse parses and validates the text of a deployment's settings file.
func Parse(data []byte) (*Settings, error) {
	return parse(data, deploymentSchema, (*checker).checkReferences)
}

// ParseNode parses and validates the text of one VM's settings file.
func ParseNode(data []byte) (*Settings, error) {
	return parse(data, nodeSchema, func(*checker, *Settings) {})
}

func parse(data, schemaText []byte, checkReferences func(*checker, *Settings)) (*Settings, error) {
	s, err := loadSchema(schemaText)
	if err != nil {
		return nil, err
	}
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return nil, trace.BadParameter("parse settings as INI: %v", err)
	}
	c := &checker{schema: s, file: file}
	c.check()
	settings := &Settings{file: file, schema: s}
	if len(c.violations) == 0 {
		checkReferences(c, settings)
	}
	if len(c.violations) > 0 {
		return nil, &ValidationError{Violations: c.violations}
	}
	return settings, nil
}

// checkReferences finds references to undefined failure domains and addresses
// that are used more than once.
func (c *checker) checkReferences(s *Settings) {
	domains := s.FailureDomains()
	owners := make(map[string]string)
	reserve := func(section, key, address string) {
		if owner, inUse := owners[address]; inUse {
			c.addViolation(section, key, address, "an address that ["+owner+"] does not use")
		}
		owners[address] = section
	}
	reserve("platform", "address", s.Text("platform", "address"))
	for _, vm := range s.VMs() {
		section := "vm " + vm.Name()
		if !slices.Contains(domains, vm.FailureDomain()) {
			c.addViolation(section, "failure_domain", vm.FailureDomain(), "one of "+strings.Join(domains, ", "))
		}
		reserve(section, "listen", vm.Listen())
		reserve(section, "peer_listen", vm.PeerListen())
	}
	for _, p := range s.Pools() {
		for _, server := range p.Servers(domains) {
			reserve("pool "+p.Name(), "first_address", server.Address)
		}
	}
}

// value returns the text of a key, or its default if the key is not set.
func (s *Settings) value(section, key string) string {
	if sec, err := s.file.GetSection(section); err == nil && sec.HasKey(key) {
		return sec.Key(key).Value()
	}
	rules, _ := s.schema.section(section)
	r, _ := lookupRule(rules, key)
	if r.defaultValue == required {
		return ""
	}
	return r.defaultValue
}

// Text returns the value of a key as text, or its default.
func (s *Settings) Text(section, key string) string { return s.value(section, key) }

// Int returns the value of a key as an integer.
func (s *Settings) Int(section, key string) int { return int(parseNumber(s.value(section, key))) }

// Float returns the value of a key as a number.
func (s *Settings) Float(section, key string) float64 { return parseNumber(s.value(section, key)) }

// Duration returns the value of a key as a duration.
func (s *Settings) Duration(section, key string) time.Duration {
	return parseDuration(s.value(section, key))
}

// Bool returns the value of a key as a Boolean.
func (s *Settings) Bool(section, key string) bool { return s.value(section, key) == "true" }

// FailureDomains returns the names of the failure domains.
func (s *Settings) FailureDomains() []string {
	return splitNames(s.value("deployment", "failure_domains"))
}

// Callers returns a map from keys to the names of their callers. It is empty if
// callers are not authenticated.
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

// namesOfSections returns the names from the sections of a repeatable type, in
// the order of the file.
func (s *Settings) namesOfSections(sectionType string) []string {
	var names []string
	for _, section := range s.file.SectionStrings() {
		if prefix, name, ok := strings.Cut(section, " "); ok && prefix == sectionType {
			names = append(names, name)
		}
	}
	return names
}

// VM holds the settings of one entry VM.
type VM struct {
	name     string
	settings *Settings
}

// VMs returns the entry VMs in the order of the file.
func (s *Settings) VMs() []VM {
	var vms []VM
	for _, name := range s.namesOfSections("vm") {
		vms = append(vms, VM{name: name, settings: s})
	}
	return vms
}

// VM returns the settings of the named VM.
func (s *Settings) VM(name string) (VM, error) {
	for _, vm := range s.VMs() {
		if vm.name == name {
			return vm, nil
		}
	}
	return VM{}, trace.NotFound("settings have no section [vm %s]", name)
}

// Name returns the name of the VM.
func (v VM) Name() string { return v.name }

// FailureDomain returns the failure domain of the VM.
func (v VM) FailureDomain() string { return v.settings.Text("vm "+v.name, "failure_domain") }

// Listen returns the address on which the VM accepts callers.
func (v VM) Listen() string { return v.settings.Text("vm "+v.name, "listen") }

// PeerListen returns the address on which the VM accepts peers and operators.
func (v VM) PeerListen() string { return v.settings.Text("vm "+v.name, "peer_listen") }

// Document returns the VM's entry in the platform's list of VMs.
func (v VM) Document() wire.VM {
	return wire.VM{Name: v.name, FailureDomain: v.FailureDomain(), PeerAddress: v.PeerListen()}
}

// Pool holds the settings of one pool of backend servers.
type Pool struct {
	name     string
	settings *Settings
}

// Pools returns the pools in the order of the file.
func (s *Settings) Pools() []Pool {
	var pools []Pool
	for _, name := range s.namesOfSections("pool") {
		pools = append(pools, Pool{name: name, settings: s})
	}
	return pools
}

// Name returns the name of the pool.
func (p Pool) Name() string { return p.name }

func (p Pool) section() string { return "pool " + p.name }

// IsService reports whether the servers are plain HTTP services instead of
// inference engines.
func (p Pool) IsService() bool { return p.settings.Text(p.section(), "backend") == "service" }

// MemoryBytes returns the accelerator memory of a server.
func (p Pool) MemoryBytes() int { return p.settings.Int(p.section(), "memory_gib") << 30 }

// KVBytes returns the part of a server's memory that is reserved for the KV
// cache.
func (p Pool) KVBytes() int { return p.settings.Int(p.section(), "kv_gib") << 30 }

// Slots returns the maximum batch size of a server in streams.
func (p Pool) Slots() int { return p.settings.Int(p.section(), "slots") }

// FirstTokenDelay returns the time to the first token of a stand-in engine.
func (p Pool) FirstTokenDelay() time.Duration { return p.settings.Duration(p.section(), "first_token") }

// TokenInterval returns the time between two tokens of a stand-in engine.
func (p Pool) TokenInterval() time.Duration {
	return p.settings.Duration(p.section(), "between_tokens")
}

// ChecksFencing reports whether the servers reject outdated fencing tokens.
func (p Pool) ChecksFencing() bool { return p.settings.Bool(p.section(), "checks_fencing") }

// Servers returns the pool's servers, assigned round-robin to the failure
// domains, on consecutive ports.
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
