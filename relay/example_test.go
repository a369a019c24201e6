package relay_test

import (
	"fmt"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/relay"
)

// A restarted run repeats the text that the caller already has; only the rest is delivered.
func ExampleAssembly() {
	var a relay.Assembly
	a.Restart("r.1")
	for _, f := range []hibiscuscart.Frame{{Attempt: "r.1", Sequence: 1, Text: "sesame "}} {
		_, text, _ := a.Accept(f)
		fmt.Printf("%q\n", text)
	}
	a.Restart("r.2") // after the stream broke
	for _, f := range []hibiscuscart.Frame{
		{Attempt: "r.2", Sequence: 1, Text: "sesame "},
		{Attempt: "r.2", Sequence: 2, Text: "milk "},
		{Sequence: 3, End: true},
	} {
		if v, text, _ := a.Accept(f); v == relay.Deliver {
			fmt.Printf("%q\n", text)
		}
	}
	fmt.Println(a.IsComplete())
	// Output:
	// "sesame "
	// "milk "
	// true
}
