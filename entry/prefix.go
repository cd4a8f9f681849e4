package entry

import "github.com/snipereach/snipereach/route"

// prefixHashes names the blocks of a call's prompt as the engines' cache events
// do. They depend on the model and the prompt alone: an engine doesn't know the
// team, and teams that share a beginning of their prompts share its cache. What
// is hashed decides only where a request goes.
func prefixHashes(model, prompt string) []uint64 { return route.PrefixHashes(model, prompt) }
