package config

import (
	"os"
	"strconv"
)

// seeds returns the number of seeds of a randomised test: SEAM_SEEDS, or n if that is
// not set.
func seeds(n int) int { return intFromEnv("SEAM_SEEDS", n) }

// hosts returns the number of hosts of a fleet: SEAM_HOSTS, or n if that is not set.
func hosts(n int) int { return intFromEnv("SEAM_HOSTS", n) }

func intFromEnv(name string, n int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return n
}
