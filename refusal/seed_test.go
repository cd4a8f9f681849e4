package refusal

import "flag"

// Fixes the rapid seed so that runs are reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
