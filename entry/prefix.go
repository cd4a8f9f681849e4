package entry

import "github.com/snipereach/snipereach/route"

// prefixHashes returns the hashes of the prompt's blocks, comparable with those in the
// engines' cache events. They depend on the model and the prompt only: engines don't
// know teams, so teams with a common prompt prefix share cache blocks. The hashes
// affect only the choice of the upstream.
func prefixHashes(model, prompt string) []uint64 { return route.PrefixHashes(model, prompt) }
