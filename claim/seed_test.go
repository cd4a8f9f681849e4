package claim

import "flag"

// The fixed seed makes runs reproducible; -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }
