package lease_test

import (
	"fmt"
	"time"

	"github.com/hibiscuscart/hibiscuscart/lease"
)

// A keeper acquires a free lease, holds it, and loses it when it does not renew.
func ExampleKeeper() {
	now := time.Unix(1_000_000, 0)
	k := lease.Keeper{Name: "vm-1", BootID: "a", Duration: 3 * time.Second}
	k.Observe(now, 0, lease.Record{}) // the object does not exist yet
	if k.Next(now) == lease.Acquire {
		record, version := k.NextRecord()
		fmt.Println("write on version", version)
		k.UpdateSucceeded(now, 1, record) // after the conditional update
	}
	fmt.Println(k.Held(now.Add(time.Second)), k.Held(now.Add(3*time.Second)))
	// Output:
	// write on version 0
	// true false
}
