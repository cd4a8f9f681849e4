package table

import "flag"

// Rapid tests use a fixed seed, so that each run gives the same result; -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }
