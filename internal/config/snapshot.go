package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Snapshot is a configuration version with the indexes that request handling needs.
// It is immutable and safe for concurrent use.
type Snapshot struct {
	Version  uint64
	Hash     string
	Document *Document
	keys     map[keyHash]KeyRef
}

// keyHash is the binary SHA-256 of a key. Unlike the hexadecimal form it can be
// looked up without an allocation.
type keyHash [sha256.Size]byte

// KeyRef identifies a key within the document.
type KeyRef struct {
	Workspace string
	KeyID     string
	Withdrawn bool
}

// NewSnapshot indexes a document. The document must not be modified afterwards. It
// returns *EncodeError if the document cannot be encoded.
func NewSnapshot(version uint64, doc *Document) (*Snapshot, error) {
	hash, err := doc.Hash()
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Version: version, Hash: hash, Document: doc, keys: map[keyHash]KeyRef{}}
	for name, workspace := range doc.Workspaces {
		for id, key := range workspace.Keys {
			if hash, ok := parseKeyHash(key.SHA256); ok {
				s.keys[hash] = KeyRef{Workspace: name, KeyID: id, Withdrawn: key.Withdrawn}
			}
		}
	}
	return s, nil
}

// LookupKey returns the workspace and ID of a key presented by a caller.
func (s *Snapshot) LookupKey(key string) (KeyRef, bool) {
	ref, ok := s.keys[sha256.Sum256([]byte(key))]
	return ref, ok
}

// LookupKeyHash returns the workspace and ID of a key by its hexadecimal SHA-256.
func (s *Snapshot) LookupKeyHash(hash string) (KeyRef, bool) {
	binary, ok := parseKeyHash(hash)
	if !ok {
		return KeyRef{}, false
	}
	ref, ok := s.keys[binary]
	return ref, ok
}

func parseKeyHash(hash string) (keyHash, bool) {
	var binary keyHash
	if len(hash) != hex.EncodedLen(len(binary)) {
		return binary, false
	}
	_, err := hex.Decode(binary[:], []byte(hash))
	return binary, err == nil
}

// MayUseModel reports whether a workspace may use a base model.
func (w Workspace) MayUseModel(model string) bool {
	return slices.Contains(w.Models, "*") || slices.Contains(w.Models, model)
}

// MayUseService reports whether a workspace may call a plain service.
func (w Workspace) MayUseService(service string) bool {
	return slices.Contains(w.Services, "*") || slices.Contains(w.Services, service)
}

// Route returns the first configured route of a plain service that matches a method
// and path.
func (s Service) Route(method, path string) (Route, bool) {
	for _, route := range s.Routes {
		if route.Matches(method, path) {
			return route, true
		}
	}
	return Route{}, false
}

// IsOpen reports whether a request to a plain service needs no key, because either
// its route is open or the list of open routes matches it.
func (s *Snapshot) IsOpen(service, method, path string) bool {
	if route, ok := s.Document.Services[service].Route(method, path); ok && route.Open {
		return true
	}
	for _, open := range s.Document.OpenRoutes {
		if open.Service == service && (Route{Method: open.Method, Path: open.Path}).Matches(method, path) {
			return true
		}
	}
	return false
}
