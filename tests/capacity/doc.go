// Package capacity measures the cost per host of the control components and how
// it grows with the fleet. Each benchmark runs one component at several sizes,
// fits a line by least squares and prints slope and intercept. `make capacity`
// runs the benchmarks; docs/CAPACITY.md holds the results.
package capacity
