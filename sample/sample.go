// Package sample provides the settings and profiles of two example deployments.
package sample

import (
	"embed"
	"fmt"
	"path"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

//go:embed *.ini */*.json
var files embed.FS

// Names returns the names of the example deployments.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), ".ini"); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Settings returns the validated settings of an example deployment.
func Settings(name string) (*conf.Settings, error) {
	data, err := files.ReadFile(name + ".ini")
	if err != nil {
		return nil, trace.NotFound("example deployment %q does not exist; available: %s", name, strings.Join(Names(), ", "))
	}
	s, err := conf.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("parse settings of example deployment %s: %w", name, err)
	}
	return s, nil
}

// Profiles returns the profiles of an example deployment, sorted by file name.
func Profiles(name string) ([]wire.Profile, error) {
	entries, err := files.ReadDir(name)
	if err != nil {
		return nil, trace.NotFound("example deployment %q does not exist", name)
	}
	var profiles []wire.Profile
	for _, e := range entries {
		data, err := files.ReadFile(path.Join(name, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("read example profile: %w", err)
		}
		profile, err := profs.Parse(data)
		if err != nil {
			return nil, fmt.Errorf("parse example profile %s: %w", e.Name(), err)
		}
		profiles = append(profiles, profile)
	}
	return profiles, nil
}
