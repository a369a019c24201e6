// Package profs validates profile documents, maintains a VM's view of the active
// profiles and applies the operators' changes.
package profs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Violation is one invalid field of a profile document.
type Violation struct {
	// Field is the path of the field, such as models[2].bytes.
	Field string
	// Value is the invalid value.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", v.Field, v.Value, v.Allowed)
}

// Defaults returns a document with the default value of every field.
func Defaults() wire.Profile {
	return wire.Profile{
		Backend: wire.ProfileBackendEngine, FirstTokenMs: 1000, BetweenTokensMs: 100, WholeAnswerMs: 30000,
		RunsAllowed: 1, Priority: 5, ConcurrencyLimit: 256, QueueLimit: 1024, MaxTokens: 512,
		KeyRetentionS: 3600, AttainmentWeight: 0.5,
	}
}

// Parse decodes a document, fills in the defaults and validates it. It reports
// all violations in one trace.BadParameter error.
func Parse(data []byte) (wire.Profile, error) {
	doc := Defaults()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return wire.Profile{}, trace.BadParameter("parse profile document: %v", err)
	}
	if dec.More() {
		return wire.Profile{}, trace.BadParameter("parse profile document: more than one JSON value")
	}
	violations := Validate(doc)
	if len(violations) == 0 {
		return doc, nil
	}
	lines := make([]string, len(violations))
	for i, v := range violations {
		lines[i] = v.String()
	}
	return wire.Profile{}, trace.BadParameter("invalid profile document: %d violations:\n%s", len(violations), strings.Join(lines, "\n"))
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const allowedName = "a lower-case letter, then up to 62 letters, digits or hyphens"

// intRule defines the allowed range of one integer field.
type intRule struct {
	field    string
	value    func(wire.Profile) int
	min, max int
}

var intRules = []intRule{
	{"first_token_ms", func(p wire.Profile) int { return p.FirstTokenMs }, 1, 600_000},
	{"between_tokens_ms", func(p wire.Profile) int { return p.BetweenTokensMs }, 1, 60_000},
	{"whole_answer_ms", func(p wire.Profile) int { return p.WholeAnswerMs }, 1, 3_600_000},
	{"runs_allowed", func(p wire.Profile) int { return p.RunsAllowed }, 1, 10},
	{"priority", func(p wire.Profile) int { return p.Priority }, 0, 9},
	{"concurrency_limit", func(p wire.Profile) int { return p.ConcurrencyLimit }, 1, 100_000},
	{"queue_limit", func(p wire.Profile) int { return p.QueueLimit }, 0, 1_000_000},
	{"max_tokens", func(p wire.Profile) int { return p.MaxTokens }, 1, 1_000_000},
	{"key_retention_s", func(p wire.Profile) int { return p.KeyRetentionS }, 60, 604_800},
}

// Validate returns all violations of a document.
func Validate(doc wire.Profile) []Violation {
	v := &validator{}
	v.checkName("name", doc.Name)
	v.checkBackend(doc)
	for _, r := range intRules {
		v.checkRange(r.field, r.value(doc), r.min, r.max)
	}
	if doc.AttainmentWeight < 0 || doc.AttainmentWeight > 1 {
		v.addViolation("attainment_weight", fmt.Sprint(doc.AttainmentWeight), "a number from 0 to 1")
	}
	if doc.FirstTokenMs > doc.WholeAnswerMs {
		v.addViolation("first_token_ms", fmt.Sprint(doc.FirstTokenMs), "at most whole_answer_ms")
	}
	if doc.RunsAllowed == 1 && doc.KeyRetentionS*1000 < 2*doc.WholeAnswerMs {
		v.addViolation("key_retention_s", fmt.Sprint(doc.KeyRetentionS), "at least twice whole_answer_ms, so that no key expires while its request runs")
	}
	v.checkModels(doc.Models)
	v.checkCallerWeights(doc.CallerWeights)
	return v.violations
}

type validator struct{ violations []Violation }

func (v *validator) addViolation(field, value, allowed string) {
	v.violations = append(v.violations, Violation{Field: field, Value: value, Allowed: allowed})
}

func (v *validator) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		v.addViolation(field, fmt.Sprintf("%q", value), allowedName)
	}
}

func (v *validator) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		v.addViolation(field, fmt.Sprint(value), fmt.Sprintf("an integer from %d to %d", low, high))
	}
}

func (v *validator) checkBackend(doc wire.Profile) {
	if doc.Pool == "" {
		v.addViolation("pool", `""`, "the name of a pool of backend servers")
	}
	switch doc.Backend {
	case wire.ProfileBackendEngine:
		if len(doc.Models) == 0 {
			v.addViolation("models", "[]", "at least one model, because the backend is an engine")
		}
	case wire.ProfileBackendService:
		if len(doc.Models) > 0 {
			v.addViolation("models", fmt.Sprintf("%d models", len(doc.Models)), "none, because the backend is a plain service")
		}
	default:
		v.addViolation("backend", fmt.Sprintf("%q", doc.Backend), "engine or service")
	}
}

func (v *validator) checkModels(models []wire.Model) {
	seen := make(map[string]bool)
	for i, m := range models {
		field := fmt.Sprintf("models[%d]", i)
		v.checkArtifact(field, m.Name, m.Version, m.Bytes)
		if seen[m.Name] {
			v.addViolation(field+".name", fmt.Sprintf("%q", m.Name), "each model once")
		}
		seen[m.Name] = true
		adapters := make(map[string]bool)
		for j, a := range m.Adapters {
			inner := fmt.Sprintf("%s.adapters[%d]", field, j)
			v.checkArtifact(inner, a.Name, a.Version, a.Bytes)
			if adapters[a.Name] {
				v.addViolation(inner+".name", fmt.Sprintf("%q", a.Name), "each adapter of a model once")
			}
			adapters[a.Name] = true
		}
	}
}

func (v *validator) checkArtifact(field, name string, version, bytes int) {
	v.checkName(field+".name", name)
	if version < 1 {
		v.addViolation(field+".version", fmt.Sprint(version), "an integer of at least 1")
	}
	if bytes < 1 {
		v.addViolation(field+".bytes", fmt.Sprint(bytes), "an integer of at least 1")
	}
}

func (v *validator) checkCallerWeights(weights []wire.CallerWeight) {
	for i, w := range weights {
		field := fmt.Sprintf("caller_weights[%d]", i)
		if w.Caller == "" {
			v.addViolation(field+".caller", `""`, "the name of a caller")
		}
		v.checkRange(field+".weight", w.Weight, 1, 1000)
	}
}
