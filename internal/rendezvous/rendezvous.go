// Package rendezvous implements rendezvous (highest random weight) hashing: every host
// chooses the same candidate for a key, and adding or removing a candidate moves only the
// keys of that candidate.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a candidate for a key.
func Score(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key) // xxhash never returns an error
	_, _ = digest.Write([]byte{0}) // separates key and candidate
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// Owner returns the candidate with the highest score for the key, or "" if there are no
// candidates.
func Owner(key string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, candidate := range candidates {
		score := Score(key, candidate)
		if best == "" || score > bestScore || (score == bestScore && candidate < best) {
			best, bestScore = candidate, score
		}
	}
	return best
}

// FirstK returns up to k candidates in descending order of their score for the key. It does
// not modify candidates.
func FirstK(key string, candidates []string, k int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(candidates))
	for _, candidate := range candidates {
		all = append(all, scored{candidate, Score(key, candidate)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, min(k, len(all)))
	for _, candidate := range all[:min(k, len(all))] {
		names = append(names, candidate.name)
	}
	return names
}
