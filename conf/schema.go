package conf

import (
	_ "embed"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// deploymentSchema describes the settings of a whole deployment, nodeSchema
// those of one VM.
var (
	//go:embed schema.ini
	deploymentSchema []byte
	//go:embed node.ini
	nodeSchema []byte
)

// anyName stands in the schema for a name that the settings choose.
const anyName = "NAME"

// required marks a key without a default.
const required = "!"

// rule describes one key.
type rule struct {
	kind     string
	allowed  string
	fallback string
	help     string
}

// schema maps the name of a section, with NAME in place of a chosen name, to
// its keys.
type schema map[string]map[string]rule

func loadSchema(text []byte) (schema, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, fmt.Errorf("read schema: %w", err)
	}
	s := make(schema)
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			continue
		}
		s[section.Name()] = make(map[string]rule)
		for _, key := range section.Keys() {
			r, err := parseRule(key.Value())
			if err != nil {
				return nil, fmt.Errorf("schema [%s] %s: %w", section.Name(), key.Name(), err)
			}
			s[section.Name()][key.Name()] = r
		}
	}
	return s, nil
}

func parseRule(text string) (rule, error) {
	parts := strings.SplitN(text, "|", 4)
	if len(parts) != 4 {
		return rule{}, fmt.Errorf("rule %q has not four parts", text)
	}
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return rule{kind: parts[0], allowed: parts[1], fallback: parts[2], help: parts[3]}, nil
}

// section returns the rules for a section of a settings file.
func (s schema) section(name string) (map[string]rule, bool) {
	kind, _, repeated := strings.Cut(name, " ")
	if repeated {
		kind += " " + anyName
	}
	rules, ok := s[kind]
	return rules, ok
}

func lookup(rules map[string]rule, key string) (rule, bool) {
	if r, ok := rules[key]; ok {
		return r, true
	}
	r, ok := rules[anyName]
	return r, ok
}
