//go:build race

package rollout_test

// runsDivisor divides the number of seeded runs: the race detector slows them down tenfold
// and the package starts no goroutine. CI runs them in full without the detector.
const runsDivisor = 10
