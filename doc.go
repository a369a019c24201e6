// Package hibiscuscart defines the types that the packages of the serving
// system share: profiles, requests, frames, and the causes and outcomes with
// which a request ends.
//
// The other packages are of three kinds. The policy packages (admit, dedup,
// fleet, route, relay, profs, naive) do no I/O, start no goroutine and take the
// current time as an argument; they can be embedded and tested in isolation.
// The client packages (store, engine, plain, link) each implement the client of
// one external system or link. Package entry combines both into the daemon of
// an entry VM.
package hibiscuscart
