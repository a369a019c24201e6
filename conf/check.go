// Package conf reads settings files. It validates the INI text against a schema
// that lists every section and key, and reports all violations at once.
package conf

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Violation is one invalid, unknown or missing entry of a settings file.
type Violation struct {
	Section string
	Key     string
	// Value is the invalid value; secrets are masked.
	Value string
	// Allowed describes the allowed values, sections or keys.
	Allowed string
}

// String formats the violation as one line.
func (v Violation) String() string {
	if v.Key == "" {
		return fmt.Sprintf("[%s]: %s", v.Section, v.Allowed)
	}
	return fmt.Sprintf("[%s] %s = %s: allowed: %s", v.Section, v.Key, v.Value, v.Allowed)
}

// ValidationError is the error for an invalid settings file. It lists all
// violations.
type ValidationError struct{ Violations []Violation }

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.String()
	}
	return fmt.Sprintf("invalid settings: %d violations:\n%s", len(e.Violations), strings.Join(lines, "\n"))
}

// checker collects the violations of one file.
type checker struct {
	schema     schema
	file       *ini.File
	violations []Violation
}

func (c *checker) addViolation(section, key, value, allowed string) {
	c.violations = append(c.violations, Violation{Section: section, Key: key, Value: value, Allowed: allowed})
}

// check validates all sections and keys against the schema and sorts the
// violations by section and key.
func (c *checker) check() {
	for _, section := range c.file.Sections() {
		c.checkSection(section)
	}
	for name, rules := range c.schema {
		if strings.Contains(name, namePlaceholder) || c.file.HasSection(name) {
			continue
		}
		c.checkMissing(name, nil, rules)
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int {
		return strings.Compare(a.Section+"\x00"+a.Key, b.Section+"\x00"+b.Key)
	})
}

func (c *checker) checkSection(section *ini.Section) {
	if section.Name() == ini.DefaultSection {
		for _, key := range section.Keys() {
			c.addViolation("", key.Name(), key.Value(), "keys only within a section")
		}
		return
	}
	rules, ok := c.schema.section(section.Name())
	if !ok {
		c.addViolation(section.Name(), "", "", "unknown section; known: "+strings.Join(c.schema.sectionNames(), ", "))
		return
	}
	for _, key := range section.Keys() {
		c.checkKey(section.Name(), key, rules)
	}
	c.checkMissing(section.Name(), section, rules)
}

func (s schema) sectionNames() []string {
	var names []string
	for name := range s {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *checker) checkKey(section string, key *ini.Key, rules map[string]rule) {
	r, ok := lookupRule(rules, key.Name())
	if !ok {
		c.addViolation(section, key.Name(), key.Value(), "unknown key; known: "+strings.Join(keyNames(rules), ", "))
		return
	}
	if err := r.check(key.Value()); err != nil {
		c.addViolation(section, key.Name(), r.displayValue(key.Value()), err.Error())
	}
}

func keyNames(rules map[string]rule) []string {
	var names []string
	for name := range rules {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *checker) checkMissing(name string, section *ini.Section, rules map[string]rule) {
	for key, r := range rules {
		if r.defaultValue != required {
			continue
		}
		if section == nil || !section.HasKey(key) {
			c.addViolation(name, key, "(missing)", r.describe())
		}
	}
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)

// displayValue returns a value in the form that a violation may contain.
func (r rule) displayValue(value string) string {
	if r.valueType == "secret" {
		return "(secret)"
	}
	return strconv.Quote(value)
}

// describe returns a description of the values that the rule allows.
func (r rule) describe() string {
	text := map[string]string{
		"text": "text", "name": "a lower-case name", "names": "lower-case names separated by commas",
		"int": "an integer", "float": "a number", "duration": "a duration such as 500ms",
		"bool": "true or false", "address": "an IP address and port such as 127.0.0.1:7000",
		"ip":     "an IP address such as 127.0.0.1, or nothing",
		"choice": "one of " + r.allowed, "secret": "a key",
	}[r.valueType]
	if r.valueType == "choice" || r.allowed == "" {
		return text
	}
	low, high, _ := strings.Cut(r.allowed, "..")
	if r.valueType == "secret" {
		return fmt.Sprintf("a key of at least %s characters", low)
	}
	return fmt.Sprintf("%s from %s to %s", text, low, high)
}

// check returns an error if the rule doesn't allow the value.
func (r rule) check(value string) error {
	if !r.accepts(value) {
		return fmt.Errorf("%s", r.describe())
	}
	return nil
}

func (r rule) accepts(value string) bool {
	low, high, _ := strings.Cut(r.allowed, "..")
	switch r.valueType {
	case "text":
		return true
	case "name":
		return namePattern.MatchString(value)
	case "names":
		names := splitNames(value)
		return len(names) > 0 && !slices.ContainsFunc(names, func(n string) bool { return !namePattern.MatchString(n) })
	case "int":
		n, err := strconv.ParseInt(value, 10, 64)
		return err == nil && parseNumber(low) <= float64(n) && float64(n) <= parseNumber(high)
	case "float":
		n, err := strconv.ParseFloat(value, 64)
		return err == nil && parseNumber(low) <= n && n <= parseNumber(high)
	case "duration":
		d, err := time.ParseDuration(value)
		return err == nil && parseDuration(low) <= d && d <= parseDuration(high)
	case "bool":
		return value == "true" || value == "false"
	case "address":
		ap, err := netip.ParseAddrPort(value)
		return err == nil && ap.Port() != 0
	case "ip":
		_, err := netip.ParseAddr(value)
		return err == nil || value == ""
	case "choice":
		return slices.Contains(strings.Fields(r.allowed), value)
	case "secret":
		return low == "" || len(value) >= int(parseNumber(low))
	}
	return false
}

func parseNumber(s string) float64 {
	n, _ := strconv.ParseFloat(s, 64)
	return n
}

func parseDuration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

func splitNames(value string) []string {
	var names []string
	for part := range strings.SplitSeq(value, ",") {
		names = append(names, strings.TrimSpace(part))
	}
	return names
}
