package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

const (
	// BlockBytes is the size of a prompt block in the prefix index. Only whole
	// blocks are cached and hashed. 64 bytes are about 16 tokens, the usual block
	// size of engines with paged KV caches.
	BlockBytes = 64
	// MaxBlocks is the maximum number of blocks hashed per prompt; 1,024 blocks
	// are 64 KiB.
	MaxBlocks = 1024

	// promptSeparator terminates roles and messages in the flattened prompt, so
	// that different message lists give different prompts.
	promptSeparator = '\x00'
)

// PrefixHashes returns the hash chain of a prompt: element i identifies the
// model (with its adapter) and the first i+1 blocks. Engines use the same
// chain in their cache events.
func PrefixHashes(model string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/BlockBytes, MaxBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	chain := xxhash.Sum64String(model)
	var digest xxhash.Digest
	var seed [8]byte
	for i := range hashes {
		binary.LittleEndian.PutUint64(seed[:], chain)
		digest.Reset()
		_, _ = digest.Write(seed[:]) // never fails
		_, _ = digest.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		chain = digest.Sum64()
		hashes[i] = chain
	}
	return hashes
}

// FlattenPrompt returns the prompt of an inference request as the bytes that are
// hashed.
func FlattenPrompt(r *engine.InferenceRequest) []byte {
	size := len(r.Prompt)
	for _, m := range r.Messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	prompt := make([]byte, 0, size)
	for _, m := range r.Messages {
		prompt = append(prompt, m.Role...)
		prompt = append(prompt, promptSeparator)
		prompt = append(prompt, m.Content...)
		prompt = append(prompt, promptSeparator)
	}
	return append(prompt, r.Prompt...)
}

// RequestPrefixHashes returns the hash chain of an inference request.
func RequestPrefixHashes(r *engine.InferenceRequest) []uint64 {
	return PrefixHashes(r.Model, FlattenPrompt(r))
}
