package operator

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const (
	defaultVersionLimit = 50
	maxVersionLimit     = 1000
	// newestVersionName is the URL name of the newest accepted version.
	newestVersionName = "current"
	// appliedVersionName is the URL name of the version applied on this host.
	appliedVersionName = "in-force"
)

// History is the response to GET /admin/v1/versions. The patch of version 0 is
// empty, because it would be the whole bootstrap document.
type History struct {
	Head     configstore.Head      `json:"head"`
	Versions []configstore.Version `json:"versions"` // ascending
}

// listVersions returns up to "limit" versions after version "after", or the newest
// ones if "after" is not given.
func (s *server) listVersions(ctx context.Context, c operatorRequest) (any, error) {
	query := c.URL.Query()
	limit, err := queryNumber(query, "limit", defaultVersionLimit)
	if err != nil {
		return nil, err
	}
	limit = min(max(limit, 1), maxVersionLimit)
	head, err := s.Store.Head(ctx)
	if err != nil {
		return nil, err
	}
	newest := head.Version + 1 - min(limit, head.Version+1) // first version of the newest ones
	if !query.Has("after") && newest == 0 {
		return s.listFromBootstrap(ctx, head, limit)
	}
	after, err := queryNumber(query, "after", newest-min(newest, 1))
	if err != nil {
		return nil, err
	}
	versions, err := s.Store.Versions(ctx, after, int(limit))
	return History{Head: head, Versions: versions}, err
}

// listFromBootstrap lists up to limit versions starting with version 0.
func (s *server) listFromBootstrap(ctx context.Context, head configstore.Head, limit uint64) (any, error) {
	first, err := s.Store.Version(ctx, 0)
	if err != nil {
		return nil, err
	}
	first.Patch = json.RawMessage("[]")
	listed := []configstore.Version{first}
	if limit > 1 {
		versions, err := s.Store.Versions(ctx, 0, int(limit-1))
		if err != nil {
			return nil, err
		}
		listed = append(listed, versions...)
	}
	return History{Head: head, Versions: listed}, nil
}

// queryNumber returns the query parameter name as a number, or absent if it is not
// given.
func queryNumber(query url.Values, name string, absent uint64) (uint64, error) {
	if !query.Has(name) {
		return absent, nil
	}
	return parseNumber(name, query.Get(name))
}

func parseNumber(name, text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, problem.New(problem.BadRequest, "%s must be a number, not %q", name, text)
	}
	return number, nil
}

// VersionDocument is the response to GET /admin/v1/versions/N. The patch of
// version 0 is empty.
type VersionDocument struct {
	configstore.Version
	Document *config.Document `json:"document"`
}

func (s *server) showVersion(ctx context.Context, c operatorRequest) (any, error) {
	if c.params.ByName("number") == appliedVersionName {
		return appliedVersion(s.Current()), nil
	}
	snapshot, err := s.loadVersion(ctx, "version", c.params.ByName("number"))
	if err != nil {
		return nil, err
	}
	version, err := s.Store.Version(ctx, snapshot.Version)
	if err != nil {
		return nil, err
	}
	if version.Number == 0 {
		version.Patch = json.RawMessage("[]")
	}
	return VersionDocument{Version: version, Document: snapshot.Document}, nil
}

// appliedVersion describes the version applied on this host. It does not read the
// table service, which may be down, and so leaves out author, time, reason and
// patch.
func appliedVersion(snapshot *config.Snapshot) VersionDocument {
	version := configstore.Version{Number: snapshot.Version, Hash: snapshot.Hash, Patch: json.RawMessage("[]")}
	return VersionDocument{Version: version, Document: snapshot.Document}
}

// loadVersion returns the version with the given name: a number, "current" (the
// newest version) or "in-force" (the version applied on this host). parameter
// names the request parameter in errors.
func (s *server) loadVersion(ctx context.Context, parameter, name string) (*config.Snapshot, error) {
	if name == appliedVersionName {
		return s.Current(), nil
	}
	if name == newestVersionName {
		return s.Store.Load(ctx)
	}
	number, err := parseNumber(parameter, name)
	if err != nil {
		return nil, err
	}
	return s.Store.SnapshotAt(ctx, number)
}

// Diff is the response to GET /admin/v1/diff?from=A&to=B. Its changes form a patch
// from version A to version B.
type Diff struct {
	From    uint64          `json:"from"`
	To      uint64          `json:"to"`
	Changes []config.Change `json:"changes"`
}

func (s *server) diffVersions(ctx context.Context, c operatorRequest) (any, error) {
	query := c.URL.Query()
	from, err := s.loadVersion(ctx, "from", query.Get("from"))
	if err != nil {
		return nil, err
	}
	to, err := s.loadVersion(ctx, "to", query.Get("to"))
	if err != nil {
		return nil, err
	}
	changes, err := config.Diff(from.Document, to.Document)
	return Diff{From: from.Version, To: to.Version, Changes: changes}, err
}

// Blame is the response to GET /admin/v1/blame?pointer=P: the version that last
// changed the value, whether the value still exists, and the value.
type Blame struct {
	Pointer string              `json:"pointer"`
	Present bool                `json:"present"`
	Value   json.RawMessage     `json:"value,omitempty"`
	Version configstore.Version `json:"version"`
}

func (s *server) blameValue(ctx context.Context, c operatorRequest) (any, error) {
	pointer := c.URL.Query().Get("pointer")
	head, err := s.Store.Head(ctx)
	if err != nil {
		return nil, err
	}
	found, err := s.attribute(ctx, head.Version, pointer)
	if err != nil {
		return nil, err
	}
	if !found.Found && !found.Present {
		return nil, problem.New(problem.NotFound, "no version has had a value at %q", pointer)
	}
	version, err := s.Store.Version(ctx, found.Number)
	if err != nil {
		return nil, err
	}
	if version.Number == 0 {
		version.Patch = json.RawMessage("[]")
	}
	return Blame{Pointer: pointer, Present: found.Present, Value: found.Value, Version: version}, nil
}

// attribute searches backwards from the newest version, one snapshot interval at a
// time, for the version that last changed a value. A value that no version changed
// comes from version 0.
func (s *server) attribute(ctx context.Context, newest uint64, pointer string) (config.Attribution, error) {
	var result config.Attribution
	for end := newest; ; {
		start := max(end, 1) - 1
		start -= start % configstore.SnapshotInterval
		block, err := s.attributeBlock(ctx, start, end, pointer)
		if err != nil {
			return result, err
		}
		if end == newest {
			result = block
		}
		if block.Found || start == 0 {
			result.Found, result.Number = block.Found, block.Number
			return result, nil
		}
		end = start
	}
}

// attributeBlock searches versions start+1 to end for the last change of a value.
func (s *server) attributeBlock(ctx context.Context, start, end uint64, pointer string) (config.Attribution, error) {
	base, err := s.Store.SnapshotAt(ctx, start)
	if err != nil {
		return config.Attribution{}, err
	}
	var patches []config.VersionPatch
	if end > start {
		versions, err := s.Store.Versions(ctx, start, int(end-start))
		if err != nil {
			return config.Attribution{}, err
		}
		for _, version := range versions {
			patches = append(patches, config.VersionPatch{Number: version.Number, Patch: version.Patch})
		}
	}
	return config.Blame(base.Document, patches, pointer)
}
