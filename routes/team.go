package routes

import (
	"crypto/sha256"
	"fmt"

	"github.com/gravitational/trace"
)

// Team is a group of callers that share API keys, a priority and a quota.
type Team struct {
	Name string
	// Keys are the API keys of the team's callers. They are secrets and must not appear in logs,
	// traces, metrics or errors.
	Keys []string
	// Priority takes precedence over the priority of the route if HasPriority is set; 0 is the
	// highest.
	Priority    int
	HasPriority bool
	// Quota limits the team's requests through all VMs together.
	Quota Quota
}

// Unit is what a quota counts.
type Unit string

// Units of quotas.
const (
	// UnitRequest counts each request as 1.
	UnitRequest Unit = "request"
	// UnitToken counts the prompt tokens and the maximum number of output tokens of a request.
	UnitToken Unit = "token"
)

// Quota is the limit of a team. The zero value is no limit.
type Quota struct {
	Unit Unit
	// PerSecond is the rate and Burst the amount that may be used at once beyond it, in units.
	// There is no limit if PerSecond is 0.
	PerSecond, Burst float64
	// PlainTokens is the size of a request that states no token usage.
	PlainTokens int
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Size returns the size of a request in units of the quota, given the token usage that it states.
func (q Quota) Size(promptTokens, maxOutputTokens int) int {
	if q.Unit != UnitToken {
		return 1
	}
	if tokens := promptTokens + maxOutputTokens; tokens > 0 {
		return tokens
	}
	return max(q.PlainTokens, 1)
}

// keyDigest is the SHA-256 digest of an API key. Keys are looked up by digest, so that the time of a
// lookup does not depend on how much of a guessed key is correct.
type keyDigest [sha256.Size]byte

func digestOf(key string) keyDigest { return sha256.Sum256([]byte(key)) }

// validate returns an error that names the first invalid field. It does not contain keys.
func (t Team) validate() error {
	switch {
	case t.Name == "":
		return trace.BadParameter("name is missing")
	case t.Quota.PerSecond < 0:
		return trace.BadParameter("quota rate of team %s is negative", t.Name)
	case t.Quota.Burst < 0:
		return trace.BadParameter("quota burst of team %s is negative", t.Name)
	case t.Quota.PlainTokens < 0:
		return trace.BadParameter("plain tokens of team %s are negative", t.Name)
	case t.Priority < 0:
		return trace.BadParameter("priority of team %s is negative", t.Name)
	case t.Quota.Unit != "" && t.Quota.Unit != UnitRequest && t.Quota.Unit != UnitToken:
		return trace.BadParameter("unit %q of team %s is unknown", t.Quota.Unit, t.Name)
	}
	return nil
}

// WithTeams returns the table with teams. Requests for its routes, other than public ones, then need
// a key. Without teams, requests need none. It returns an error if a team is invalid, or if two teams
// share a name or a key.
func (t *Table) WithTeams(teams []Team) (*Table, error) {
	withTeams := *t
	withTeams.requiresKey = true
	withTeams.teams = make(map[string]Team, len(teams))
	withTeams.teamByKey = make(map[keyDigest]string)
	for i, team := range teams {
		if err := team.validate(); err != nil {
			return nil, fmt.Errorf("team %d: %w", i+1, err)
		}
		if _, exists := withTeams.teams[team.Name]; exists {
			return nil, trace.BadParameter("name %s is used by two teams", team.Name)
		}
		withTeams.teams[team.Name] = team
		for n, key := range team.Keys {
			digest := digestOf(key)
			if holder, held := withTeams.teamByKey[digest]; held {
				return nil, trace.BadParameter("key %d of team %s is also held by team %s", n+1, team.Name, holder)
			}
			if key == "" {
				return nil, trace.BadParameter("key %d of team %s is empty", n+1, team.Name)
			}
			withTeams.teamByKey[digest] = team.Name
		}
	}
	withTeams.topTeamPriority = withTeams.highestTeamPriority()
	return &withTeams, nil
}

func (t *Table) highestTeamPriority() int {
	top, found := 0, false
	for _, team := range t.teams {
		if team.HasPriority && (!found || team.Priority < top) {
			top, found = team.Priority, true
		}
	}
	return top
}

// Teams returns all teams in no particular order.
func (t *Table) Teams() []Team {
	list := make([]Team, 0, len(t.teams))
	for _, team := range t.teams {
		list = append(list, team)
	}
	return list
}

// Authenticate returns the team that holds a request's key. keys are the values of the request's key
// header; more than one are as good as none. The team is nil if the route is public or the table has
// no teams. ok is false if the request needs a key and has none that a team holds.
func (t *Table) Authenticate(r Route, keys []string) (team *Team, ok bool) {
	if !t.requiresKey || r.Public {
		return nil, true
	}
	if len(keys) != 1 {
		return nil, false
	}
	name, held := t.teamByKey[digestOf(keys[0])]
	if !held {
		return nil, false
	}
	found := t.teams[name]
	return &found, true
}

// Urgency is the urgency of a request among those of its service. The zero value is the highest.
type Urgency struct {
	// Priority is that of the team if it has one, else that of the route; 0 is the highest.
	Priority int
	// Deferrable is set if the team has a priority and another route to the same service has a
	// higher one than the request's: it comes after the other requests of the same priority.
	Deferrable bool
	// Top is set if no request to the service is more urgent.
	Top bool
}

// Urgency returns the urgency of a request of a team, nil for none, to a service.
func (t *Table) Urgency(r Route, team *Team, service string) Urgency {
	isTopRoute := r.Priority <= t.topPriority[service]
	if team == nil || !team.HasPriority {
		return Urgency{Priority: r.Priority, Top: isTopRoute}
	}
	return Urgency{Priority: team.Priority, Deferrable: !isTopRoute, Top: isTopRoute && team.Priority <= t.topTeamPriority}
}
