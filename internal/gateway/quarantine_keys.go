package gateway

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// quarantineKeys identify what a request may have in common with others that crash
// upstreams.
type quarantineKeys struct {
	request  quarantine.Key
	segments []quarantine.Key // the shared segments of the prompt, in order
}

// newQuarantineKeys computes the keys of a request. Repetitions of a request have the same
// method, host, target, key and body.
func newQuarantineKeys(in *inbound) quarantineKeys {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{in.httpRequest.Method, in.httpRequest.Host, in.httpRequest.RequestURI, in.request.Key} {
		_, _ = digest.WriteString(part) // xxhash never fails
		_, _ = digest.Write([]byte{0})  // separates the parts
	}
	_, _ = digest.Write(in.body)
	keys := quarantineKeys{request: quarantine.Key(digest.Sum64())}
	for _, id := range in.request.SharedSegments() {
		keys.segments = append(keys.segments, segmentKey(id))
	}
	return keys
}

// segmentKey returns the key of a prompt segment, which is the same on all hosts.
func segmentKey(id string) quarantine.Key {
	return quarantine.Key(xxhash.Sum64String("segment\x00" + id))
}

// all returns the keys of the request and of its segments.
func (k quarantineKeys) all() []quarantine.Key { return append(slices.Clone(k.segments), k.request) }

// runID identifies a run of a request over all hosts.
func runID(requestID string, run int) uint64 {
	return xxhash.Sum64String(requestID + "\x00" + strconv.Itoa(run))
}
