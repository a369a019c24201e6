package plan_test

import (
	"fmt"

	"github.com/hibiscuscart/hibiscuscart/plan"
)

// A model with more demand than one server can serve gets another replica.
func ExampleMake() {
	in := plan.Input{
		Copies: 1,
		Servers: []plan.Server{
			{Name: "a", Pool: "p", Memory: 100, Slots: 8, Holds: []string{"busy"}},
			{Name: "b", Pool: "p", Memory: 100, Slots: 8, Holds: []string{"quiet"}},
		},
		Models: []plan.Model{
			{Name: "busy", Pool: "p", Bytes: 40, Demand: 11, Weight: 0.9},
			{Name: "quiet", Pool: "p", Bytes: 40, Demand: 0.1, Weight: 0.9},
		},
	}
	out := plan.Make(in)
	fmt.Println(out.Holds, out.Moves)
	// Output: map[a:[busy] b:[busy quiet]] 1
}
