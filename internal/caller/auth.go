package caller

import (
	"net/http"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const bearerPrefix = "Bearer "

// Identity is the workspace of an authenticated request and the key it presented.
// KeyHash is the hash by which the configuration identifies the key.
type Identity struct {
	Workspace string
	KeyID     string
	KeyHash   string
}

// presentedKey returns the bearer token of the Authorization header, or "".
func presentedKey(r *http.Request) string {
	header := r.Header.Get("Authorization")
	if len(header) < len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(header[len(bearerPrefix):])
}

// authenticate returns the identity of a presented key.
func authenticate(snapshot *config.Snapshot, key string) (Identity, *problem.Error) {
	if key == "" {
		return Identity{}, problem.New(problem.MissingKey, "send the key as Authorization: Bearer KEY")
	}
	hash := config.HashKey(key)
	ref, ok := snapshot.LookupKeyHash(hash)
	if !ok {
		return Identity{}, problem.New(problem.InvalidKey, "no workspace has this key")
	}
	if ref.Withdrawn {
		return Identity{}, problem.New(problem.KeyWithdrawn, "key %q of workspace %q has been withdrawn", ref.KeyID, ref.Workspace)
	}
	return Identity{Workspace: ref.Workspace, KeyID: ref.KeyID, KeyHash: hash}, nil
}
