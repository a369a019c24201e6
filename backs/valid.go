package backs

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/gravitational/trace"
)

// What a server can have. An entry beyond these bounds is from another writer.
const (
	maxNameBytes = 256
	maxHostBytes = 253
	// maxModelListBytes bounds the names of the models and adapters of a server together. VMs send each other the
	// lists of all servers in one frame.
	maxModelListBytes = 32 << 10
	maxModelVersion   = 1<<31 - 1
	maxSlots          = 1 << 16
	// maxRemaining bounds how long a server may still be slow or drain.
	maxRemaining = 7 * 24 * time.Hour
	// maxStartedAtMs is the end of the year 2199, in Unix milliseconds.
	maxStartedAtMs = 7_258_118_400_000
)

// Validate returns a trace.BadParameter error that names the field if an entry has a value that no server can have. Fields
// that are empty are valid, except the name.
func (e Entry) Validate() error {
	for _, c := range e.PlatformName() {
		// Requests name the server in a header.
		if c <= ' ' || c > '~' {
			return trace.BadParameter("name %.100q has other characters than printable ASCII", e.PlatformName())
		}
	}
	if e.PlatformName() == "" {
		return trace.BadParameter("name is missing")
	}
	names := [...]struct{ field, value string }{
		{"name", e.PlatformName()}, {"service", e.Service}, {"domain", e.Domain}, {"software version", e.SoftwareVersion},
	}
	for _, n := range names {
		if err := validateName(n.field, n.value); err != nil {
			return err
		}
	}
	if err := e.validateNumbers(); err != nil {
		return err
	}
	if e.Address != "" && !validAddress(e.Address) {
		return trace.BadParameter("address %.100q is not an IP address or host with a port from 1 to 65535", e.Address)
	}
	return validateModels(e.Models)
}

func (e Entry) validateNumbers() error {
	if e.Slots < 0 || e.Slots > maxSlots {
		return trace.BadParameter("%d slots are out of range", e.Slots)
	}
	for _, d := range [...]time.Duration{e.DrainRemaining, e.WarmupRemaining} {
		if d < 0 || d > maxRemaining {
			return trace.BadParameter("remaining time %v is out of range", d)
		}
	}
	if ms := e.StartedAt.UnixMilli(); !e.StartedAt.IsZero() && (ms < 0 || ms > maxStartedAtMs) {
		return trace.BadParameter("start time %d ms is out of range", ms)
	}
	return nil
}

func validateModels(models []LoadedModel) error {
	size := 0
	for _, m := range models {
		if m.Version < 0 || m.Version > maxModelVersion {
			return trace.BadParameter("version %d of model %.100q is out of range", m.Version, m.Model)
		}
		size += len(m.Model)
		if err := validateName("model", m.Model); err != nil {
			return err
		}
		for _, a := range m.Adapters {
			size += len(a)
			if err := validateName("adapter", a); err != nil {
				return err
			}
		}
		if size > maxModelListBytes {
			return trace.BadParameter("names of models have more than %d bytes", maxModelListBytes)
		}
	}
	return nil
}

func validateName(field, value string) error {
	switch {
	case len(value) > maxNameBytes:
		return trace.BadParameter("%s %.100q... has more than %d bytes", field, value, maxNameBytes)
	case !utf8.ValidString(value):
		return trace.BadParameter("%s %.100q is not UTF-8", field, value)
	case strings.IndexFunc(value, unicode.IsControl) >= 0:
		return trace.BadParameter("%s %.100q has control characters", field, value)
	}
	return nil
}

// validAddress reports whether requests can be sent to an address.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return false
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		return ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
	}
	return validHost(host)
}

// validHost reports whether a host that is no IP address has the form of a host name (RFC 1123), or underscores. A name
// whose last label is a number would be taken for an IP address.
func validHost(host string) bool {
	if len(host) > maxHostBytes {
		return false
	}
	last := ""
	for last = range strings.SplitSeq(host, ".") {
		if last == "" || strings.Trim(strings.ToLower(last), "abcdefghijklmnopqrstuvwxyz0123456789-_") != "" {
			return false
		}
	}
	return strings.Trim(last, "0123456789") != ""
}
