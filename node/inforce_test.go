package node

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/clock"
	"github.com/hibiscuscart/hibiscuscart/conf"
	"github.com/hibiscuscart/hibiscuscart/platform"
	"github.com/hibiscuscart/hibiscuscart/routes"
	"github.com/hibiscuscart/hibiscuscart/store"
)

// shownConfig is a configuration as the store or a hub shows it to a VM, and what the VM does with it.
type shownConfig struct {
	// version is that of the operators, and text tells configurations of one version apart. applies is the text
	// in force after it, if the case has texts.
	version       int
	text, applies string
	// era and revision are those of the store, or told is the number in a hub's frame.
	era, revision, told int
	// inForce is the version in force after it, and tells the number in the VM's own frames.
	inForce, tells int
}

func fromStore(version, era, revision, inForce, tells int) shownConfig {
	return shownConfig{version: version, era: era, revision: revision, inForce: inForce, tells: tells}
}

func fromHub(version, told, inForce, tells int) shownConfig {
	return shownConfig{version: version, told: told, inForce: inForce, tells: tells}
}

var shownConfigs = map[string][]shownConfig{
	"store without eras": {fromStore(1, 0, 5, 1, 5), fromStore(2, 0, 9, 2, 9), fromStore(2, 0, 9, 2, 9)},
	"few changes lost": {
		fromStore(20, 1, 60, 20, 60), fromStore(22, 1, 88, 22, 88), fromStore(20, 2, 60, 22, 88), fromStore(24, 2, 70, 24, 89), fromStore(28, 2, 75, 28, 90), fromStore(33, 2, 93, 33, 93),
	},
	"written again":            {fromStore(22, 1, 88, 22, 88), fromStore(20, 2, 60, 22, 88), fromStore(22, 2, 68, 22, 88), fromStore(24, 2, 88, 24, 89)},
	"revision is the same":     {fromStore(22, 1, 88, 22, 88), fromStore(24, 2, 88, 24, 89)},
	"twice":                    {fromStore(22, 1, 88, 22, 88), fromStore(24, 2, 70, 24, 89), fromStore(22, 3, 50, 24, 89), fromStore(26, 3, 52, 26, 90)},
	"older is shown":           {fromStore(22, 1, 88, 22, 88), fromStore(20, 1, 95, 22, 88)},
	"hub is ahead":             {fromStore(20, 2, 60, 20, 60), fromHub(22, 88, 22, 88), fromStore(20, 2, 60, 22, 88), fromStore(24, 2, 70, 24, 89)},
	"hub shows an older one":   {fromStore(24, 2, 70, 24, 70), fromHub(22, 88, 24, 88), fromStore(26, 2, 75, 26, 89)},
	"hub has told more":        {fromStore(24, 2, 70, 24, 70), fromHub(24, 90, 24, 90), fromStore(26, 2, 75, 26, 91)},
	"hub of an older build":    {fromHub(22, 88, 22, 88), fromHub(33, 93, 33, 93)},
	"hub told less afterwards": {fromHub(22, 88, 22, 88), fromHub(24, 70, 24, 89)},
	"one version, two texts": {
		{version: 3, text: "a", applies: "a", era: 1, revision: 8, inForce: 3, tells: 8}, {version: 3, text: "b", applies: "b", era: 1, revision: 9, inForce: 3, tells: 9},
		{version: 3, text: "a", applies: "b", era: 1, revision: 8, inForce: 3, tells: 9}, {version: 3, text: "c", applies: "c", era: 2, revision: 2, inForce: 3, tells: 10},
	},
	"one version, hub is ahead": {
		{version: 3, text: "a", applies: "a", era: 1, revision: 8, inForce: 3, tells: 8}, {version: 3, text: "b", applies: "b", told: 12, inForce: 3, tells: 12},
		{version: 3, text: "a", applies: "b", era: 1, revision: 8, inForce: 3, tells: 12}, {version: 3, text: "c", applies: "c", era: 1, revision: 13, inForce: 3, tells: 13},
		{version: 3, text: "b", applies: "c", told: 12, inForce: 3, tells: 13},
	},
}

// runShown shows configurations to a VM and calls check after each.
func runShown(t *testing.T, list []shownConfig, check func(t *testing.T, n *Node, c shownConfig)) {
	t.Helper()
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	n := New(Config{Settings: settings, ConfigKind: platform.ConfigKind, ConfigName: platform.ConfigName, DecodeTable: platform.DecodeTable, Now: clock.Now, Log: zerolog.Nop()})
	for _, c := range list {
		value := fmt.Appendf(nil, `{"Version":%d,"text":%q}`, c.version, c.text)
		if c.told > 0 {
			n.applyHubConfig(c.told, value)
		} else {
			n.applyConfigObject(store.Object{Kind: platform.ConfigKind, Name: platform.ConfigName, Version: store.VersionOf(c.era, c.revision), Value: value})
		}
		check(t, n, c)
	}
}

// Guards against a VM that goes back to an older configuration, or misses a newer one, because the store gives out
// revisions again.
func TestConfigurationOrder(t *testing.T) {
	for name, list := range shownConfigs {
		t.Run(name, func(t *testing.T) {
			runShown(t, list, func(t *testing.T, n *Node, c shownConfig) {
				t.Helper()
				require.Equal(t, c.inForce, n.table.Load().Version(), "after %+v", c)
				_, value := n.currentConfig()
				require.Contains(t, string(value), fmt.Sprintf("%q", c.applies), "after %+v", c)
			})
		})
	}
}

// Guards against VMs of older builds, which take a frame only if its number is higher than the last, and keep an
// older configuration, or none after that, behind a hub that has read a restored store.
func TestFramesNumberConfigurations(t *testing.T) {
	for name, list := range shownConfigs {
		t.Run(name, func(t *testing.T) {
			runShown(t, list, func(t *testing.T, n *Node, c shownConfig) {
				t.Helper()
				number, _ := n.currentConfig()
				require.Equal(t, c.tells, number, "after %+v", c)
			})
		})
	}
}

// A VM with a fraction of a core links to another hub, or reads the store, while it has requests under way. Guards
// against the tenths of a second in which it decodes thousands of routes that it has in force already.
func TestConfigurationInForceIsNotDecodedAgain(t *testing.T) {
	settings, err := conf.ParseNode([]byte(testSettings))
	require.NoError(t, err)
	decoded := 0
	n := New(Config{Settings: settings, ConfigKind: platform.ConfigKind, ConfigName: platform.ConfigName, Now: clock.Now, Log: zerolog.Nop(), DecodeTable: func(o store.Object) (*routes.Table, error) {
		decoded++
		return platform.DecodeTable(o)
	}})
	first, second := []byte(`{"Version":1,"text":"a"}`), []byte(`{"Version":2,"text":"a"}`)
	stored := func(revision int, value []byte) {
		n.applyConfigObject(store.Object{Kind: platform.ConfigKind, Name: platform.ConfigName, Version: store.VersionOf(0, revision), Value: value})
	}
	n.applyHubConfig(7, first)
	require.Equal(t, 1, decoded)
	n.applyHubConfig(8, first)
	stored(9, first)
	require.Equal(t, 1, decoded)
	require.Equal(t, 1, n.table.Load().Version())
	number, _ := n.currentConfig()
	require.Equal(t, 8, number)
	stored(10, second)
	require.Equal(t, 2, decoded)
	n.applyHubConfig(11, first)
	require.Equal(t, 3, decoded, "a configuration that is not in force")
	require.Equal(t, 2, n.table.Load().Version())
}
