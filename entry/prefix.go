package entry

import "github.com/cespare/xxhash/v2"

// Blocks of a prompt that are hashed for prefix routing.
const (
	prefixBlock = 256
	maxPrefix   = 64
)

// prefixHashes returns the chained hashes of a prompt's blocks of prefixBlock
// bytes, shortest prefix first. The scope keeps teams and models apart.
func prefixHashes(scope, prompt string) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(scope)
	var list []uint64
	for len(prompt) >= prefixBlock && len(list) < maxPrefix {
		_, _ = d.WriteString(prompt[:prefixBlock])
		list = append(list, d.Sum64())
		prompt = prompt[prefixBlock:]
	}
	return list
}
