package conf

import (
	_ "embed"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// deploymentSchema describes the settings of a whole deployment, nodeSchema
// the settings of one VM.
var (
	//go:embed schema.ini
	deploymentSchema []byte
	//go:embed node.ini
	nodeSchema []byte
)

// namePlaceholder is the schema's placeholder for a name that is chosen in the
// settings.
const namePlaceholder = "NAME"

// required marks a key that has no default and must be set.
const required = "!"

// rule is the schema entry of one key.
type rule struct {
	valueType    string
	allowed      string
	defaultValue string
	description  string
}

// schema maps the name of a section, with NAME as the placeholder, to the rules
// for its keys.
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
		return rule{}, fmt.Errorf("rule %q does not have four parts", text)
	}
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return rule{valueType: parts[0], allowed: parts[1], defaultValue: parts[2], description: parts[3]}, nil
}

// section returns the rules for the keys of a section and whether the schema
// has the section.
func (s schema) section(name string) (map[string]rule, bool) {
	pattern, _, repeated := strings.Cut(name, " ")
	if repeated {
		pattern += " " + namePlaceholder
	}
	rules, ok := s[pattern]
	return rules, ok
}

func lookupRule(rules map[string]rule, key string) (rule, bool) {
	if r, ok := rules[key]; ok {
		return r, true
	}
	r, ok := rules[namePlaceholder]
	return r, ok
}
