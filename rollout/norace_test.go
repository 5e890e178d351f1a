//go:build !race

package rollout_test

// runsDivisor divides the number of seeded runs.
const runsDivisor = 1
