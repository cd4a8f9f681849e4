package route

import "github.com/cespare/xxhash/v2"

// Blocks of a prompt that are hashed for prefix routing.
const (
	// PrefixBlock is the length of a block in bytes.
	PrefixBlock = 256
	// MaxPrefix is how many blocks are hashed at most.
	MaxPrefix = 64
)

// PrefixHashes returns the chained hashes of a prompt's blocks, shortest prefix
// first: each hash covers the model's name and all blocks up to its own. An
// engine that names the blocks of its cache events in the same way lets entries
// know what it holds. prompt is the JSON of the call's prompt and messages, as
// the caller wrote it.
func PrefixHashes(model, prompt string) []uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	blocks := min(len(prompt)/PrefixBlock, MaxPrefix)
	if blocks == 0 {
		return nil
	}
	list := make([]uint64, blocks)
	for i := range list {
		_, _ = d.WriteString(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		list[i] = d.Sum64()
	}
	return list
}
