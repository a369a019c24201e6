package routes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

const secret = "k7b2ex5wa5xwyhks8nbk"

// Guards against a malformed list of teams being put into force, and against keys in the error that is
// logged for it.
func TestInvalidTeams(t *testing.T) {
	valid := routes.Team{Name: "a", Keys: []string{secret}}
	for name, tc := range map[string]struct {
		teams []routes.Team
		want  string
	}{
		"no name":          {[]routes.Team{{Keys: []string{secret}}}, "team 1: name"},
		"name twice":       {[]routes.Team{valid, {Name: "a"}}, "name a is used by two teams"},
		"key of two teams": {[]routes.Team{valid, {Name: "b", Keys: []string{"other", secret}}}, "key 2 of team b is also held by team a"},
		"key twice":        {[]routes.Team{{Name: "a", Keys: []string{secret, secret}}}, "key 2 of team a is also held by team a"},
		"empty key":        {[]routes.Team{{Name: "a", Keys: []string{""}}}, "key 1 of team a is empty"},
		"negative rate":    {[]routes.Team{{Name: "a", Quota: routes.Quota{PerSecond: -1}}}, "rate of team a"},
		"negative burst":   {[]routes.Team{{Name: "a", Quota: routes.Quota{PerSecond: 1, Burst: -1}}}, "burst of team a"},
		"negative plain":   {[]routes.Team{{Name: "a", Quota: routes.Quota{PlainTokens: -1}}}, "plain tokens of team a"},
		"unknown unit":     {[]routes.Team{{Name: "a", Quota: routes.Quota{Unit: "parsec"}}}, "parsec"},
		"negative rank":    {[]routes.Team{{Name: "a", Priority: -1}}, "priority of team a"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := routes.NewTable(1, nil, nil, routes.Limits{}).WithTeams(tc.teams)
			require.ErrorContains(t, err, tc.want)
			require.NotContains(t, err.Error(), secret)
		})
	}
}

// Guards against serving a request without a valid key, and against rejecting one that needs none.
func TestAuthenticate(t *testing.T) {
	plain := routes.NewTable(1, nil, nil, routes.Limits{})
	withTeams, err := plain.WithTeams([]routes.Team{{Name: "a", Keys: []string{secret, "second"}}, {Name: "b"}})
	require.NoError(t, err)
	noTeams, err := plain.WithTeams(nil)
	require.NoError(t, err)
	for name, tc := range map[string]struct {
		table  *routes.Table
		public bool
		keys   []string
		team   string
		ok     bool
	}{
		"no teams configured": {table: plain, ok: true},
		"empty list of teams": {table: noTeams, keys: []string{secret}},
		"valid key":           {table: withTeams, keys: []string{secret}, team: "a", ok: true},
		"second key":          {table: withTeams, keys: []string{"second"}, team: "a", ok: true},
		"unknown key":         {table: withTeams, keys: []string{"third"}},
		"no key":              {table: withTeams},
		"empty key":           {table: withTeams, keys: []string{""}},
		"two keys":            {table: withTeams, keys: []string{secret, "second"}},
		"public route":        {table: withTeams, public: true, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			team, ok := tc.table.Authenticate(routes.Route{Public: tc.public}, tc.keys)
			require.Equal(t, tc.ok, ok)
			require.Equal(t, tc.team != "", team != nil)
			if team != nil {
				require.Equal(t, tc.team, team.Name)
			}
		})
	}
}

// Guards against sizing a request that states no usage as nothing, which would exempt it from the
// quota.
func TestQuotaSize(t *testing.T) {
	tokens := routes.Quota{Unit: routes.UnitToken, PlainTokens: 200}
	require.Equal(t, 1540, tokens.Size(1460, 80))
	require.Equal(t, 200, tokens.Size(0, 0))
	require.Equal(t, 1, routes.Quota{Unit: routes.UnitToken}.Size(0, 0))
	require.Equal(t, 1, routes.Quota{}.Size(1460, 80))
}

// Guards against a route's priority deciding before that of the team.
func TestUrgency(t *testing.T) {
	target := []routes.Target{{Service: "s"}}
	draft, batch := routes.Route{Host: "h", Priority: 1, Targets: target}, routes.Route{Host: "h", Priority: 2, Targets: target}
	first, second := routes.Team{Name: "a", HasPriority: true}, routes.Team{Name: "b", HasPriority: true, Priority: 1}
	table, err := routes.NewTable(1, []routes.Route{draft, batch}, nil, routes.Limits{}).WithTeams([]routes.Team{first, second})
	require.NoError(t, err)
	for name, tc := range map[string]struct {
		route routes.Route
		team  *routes.Team
		want  routes.Urgency
	}{
		"no team":           {draft, nil, routes.Urgency{Priority: 1, Top: true}},
		"no team, batch":    {batch, nil, routes.Urgency{Priority: 2}},
		"without priority":  {batch, &routes.Team{}, routes.Urgency{Priority: 2}},
		"first team":        {draft, &first, routes.Urgency{Top: true}},
		"first team, batch": {batch, &first, routes.Urgency{Deferrable: true}},
		"second team":       {draft, &second, routes.Urgency{Priority: 1}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, table.Urgency(tc.route, tc.team, "s")) })
	}
}
