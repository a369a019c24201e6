package pause

import "time"

// MinStandstill is how late a timer fires at least if this process is taken to have stood still. A process that has used
// up its share of a core is not run for some tens of milliseconds, many times a second.
const MinStandstill = 150 * time.Millisecond

// Standstill returns for how long this process stood still during a wait of asked that took longer or not, 0 if it did
// not. What it did not hear meanwhile says nothing about others.
func Standstill(asked, took time.Duration) time.Duration {
	if late := took - asked; late >= MinStandstill {
		return late
	}
	return 0
}
