package route

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockBytes is the length in bytes of the blocks in which prompts are hashed.
	PrefixBlockBytes = 256
	// MaxPrefixBlocks is the maximum number of blocks hashed per prompt.
	MaxPrefixBlocks = 64
)

// PrefixHashes returns the chained hashes of a prompt's complete blocks, shortest
// prefix first: each hash covers the model's name and all blocks up to its own. It
// returns nil for a prompt shorter than a block. prompt is the JSON of the call's
// prompt and messages, byte for byte as the caller sent it. Engines must identify
// blocks in their cache events by the same hashes.
func PrefixHashes(model, prompt string) []uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	blocks := min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	list := make([]uint64, blocks)
	for i := range list {
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		list[i] = d.Sum64()
	}
	return list
}
