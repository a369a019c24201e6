// Package naive has simple, correct and unoptimized implementations of the system's components.
// Differential tests compare the production implementations with them, and experiments use them as
// the baseline.
package naive
