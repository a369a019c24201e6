package routes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/routes"
)

func TestMatchLongestPrefix(t *testing.T) {
	table := routes.NewTable(1, []routes.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}, nil, routes.Limits{})
	tests := map[string]struct{ host, path, want string }{
		"long prefix":  {"a.example", "/x/y/z", "long"},
		"short prefix": {"a.example", "/x/z", "short"},
		"no slash":     {"a.example", "/xy", ""},
		"port ignored": {"A.example:80", "/x/", "short"},
		"root":         {"b.example", "/anything", "other"},
		"unknown host": {"c.example", "/x/", ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Match(tc.host, tc.path)
			require.Equal(t, tc.want != "", ok)
			require.Equal(t, tc.want, r.Name)
		})
	}
}

func TestTargetWeights(t *testing.T) {
	r := routes.Route{Targets: []routes.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for random := range uint64(1000) {
		count[r.PickService(random)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, count)
	require.Empty(t, routes.Route{}.PickService(3))
}

func TestRepeatable(t *testing.T) {
	tests := map[string]struct {
		route routes.Route
		want  bool
	}{
		"idempotent":       {routes.Route{Kind: routes.Idempotent}, true},
		"once":             {routes.Route{Kind: routes.AtMostOnce}, false},
		"stream":           {routes.Route{Kind: routes.Stream}, false},
		"resumable stream": {routes.Route{Kind: routes.Stream, Resumable: true}, true},
		"resumable once":   {routes.Route{Kind: routes.AtMostOnce, Resumable: true}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, tc.route.Repeatable()) })
	}
}

func TestTopPriority(t *testing.T) {
	to := func(priority int, services ...string) routes.Route {
		r := routes.Route{Priority: priority}
		for _, s := range services {
			r.Targets = append(r.Targets, routes.Target{Service: s, Weight: 1})
		}
		return r
	}
	table := routes.NewTable(1, []routes.Route{to(2, "a", "b"), to(1, "a"), to(3, "b"), to(0, "c")}, nil, routes.Limits{})
	want := map[string]int{"a": 1, "b": 2, "c": 0}
	for service, priority := range want {
		require.Equal(t, priority, table.TopPriority(service), service)
	}
}

// Guards against load by priority where all routes to a service are equally urgent, and against its
// absence where they are not, in any order of the routes.
func TestHasMixedPriorities(t *testing.T) {
	to := func(priority int, service string) routes.Route {
		return routes.Route{Priority: priority, Targets: []routes.Target{{Service: service, Weight: 1}}}
	}
	table := routes.NewTable(1, []routes.Route{to(2, "rising"), to(3, "rising"), to(3, "falling"), to(2, "falling"), to(4, "equal"), to(4, "equal"), to(0, "one")}, nil, routes.Limits{})
	want := map[string]bool{"rising": true, "falling": true, "equal": false, "one": false, "none": false}
	for service, mixed := range want {
		require.Equal(t, mixed, table.HasMixedPriorities(service), service)
	}
}
