// Package stand provides small stand-ins for the systems around the entry VMs: the
// platform with its objects and VM list, the weight store, model engines and
// plain services. They run inside tests or as separate processes. Faults are
// injected through function fields and an HTTP control path. The stand-ins
// count the violations of guarantees that they observe, such as memory overcommits.
package stand
