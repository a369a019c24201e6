package plan_test

import (
	"fmt"

	"github.com/hibiscuscart/hibiscuscart/plan"
)

// A model with more demand than one server can serve gets another replica.
func ExampleMake() {
	in := plan.Input{
		Replicas: 1,
		Servers: []plan.Server{
			{Name: "a", Pool: "p", MemoryBytes: 100, Slots: 8, Models: []string{"busy"}},
			{Name: "b", Pool: "p", MemoryBytes: 100, Slots: 8, Models: []string{"quiet"}},
		},
		Models: []plan.Model{
			{Name: "busy", Pool: "p", Bytes: 40, Demand: 11, AttainmentWeight: 0.9},
			{Name: "quiet", Pool: "p", Bytes: 40, Demand: 0.1, AttainmentWeight: 0.9},
		},
	}
	out := plan.Make(in)
	fmt.Println(out.Placement, out.Moves)
	// Output: map[a:[busy] b:[busy quiet]] 1
}
