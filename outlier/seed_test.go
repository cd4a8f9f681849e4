package outlier

import "flag"

func init() { _ = flag.Set("rapid.seed", "1") }
