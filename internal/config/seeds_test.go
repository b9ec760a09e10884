package config

import (
	"os"
	"strconv"
)

// seeds returns the number of seeds of a randomised run: n in CI, or
// SEAM_SEEDS.
func seeds(n int) int {
	if v, err := strconv.Atoi(os.Getenv("SEAM_SEEDS")); err == nil {
		return v
	}
	return n
}
