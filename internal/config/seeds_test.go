package config

import (
	"os"
	"strconv"
)

// seeds returns the number of seeds of a randomised run: n in CI, or
// SEAM_SEEDS.
func seeds(n int) int { return fromEnv("SEAM_SEEDS", n) }

// hosts returns the size of a fleet: n in CI, or SEAM_HOSTS.
func hosts(n int) int { return fromEnv("SEAM_HOSTS", n) }

func fromEnv(name string, n int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return n
}
