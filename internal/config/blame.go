package config

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/rotisserie/eris"
)

// VersionPatch is a version number and the accepted patch that created it.
type VersionPatch struct {
	Number uint64
	Patch  json.RawMessage
}

// Attribution is the version that last changed the value at a JSON pointer.
type Attribution struct {
	Found   bool            // whether any of the versions changed the value
	Number  uint64          // the last version that changed the value; valid if Found
	Present bool            // whether the value exists after the last version
	Value   json.RawMessage // the value; valid if Present
}

// Blame returns the last of the versions that changed the value at a JSON pointer.
// A version changes a value if it sets, replaces or removes the value or a part of
// it, or if it shifts an array by inserting or removing an element before it. base
// is the document before the first version; versions must be in ascending order.
// It returns *PointerError for a malformed pointer and *InvalidError if a patch
// cannot be applied.
func Blame(base *Document, versions []VersionPatch, pointer string) (Attribution, error) {
	tokens, err := ParsePointer(pointer)
	if err != nil {
		return Attribution{}, eris.Wrap(err, "blame")
	}
	replay, err := newReplay(base, tokens)
	if err != nil {
		return Attribution{}, err
	}
	for _, version := range versions {
		if err := replay.apply(version); err != nil {
			return Attribution{}, eris.Wrapf(err, "version %d", version.Number)
		}
	}
	return replay.result, nil
}

// replay applies patches and tracks one value. Patches that cannot affect the value
// are queued and applied together with the next patch that may, so that the
// document is parsed once per such patch and not once per version.
type replay struct {
	tokens  []string
	doc     *Document
	pending []operation // queued operations
	value   any
	result  Attribution
}

func newReplay(base *Document, tokens []string) (*replay, error) {
	r := &replay{tokens: tokens, doc: base}
	var err error
	if r.value, r.result.Present, err = r.currentValue(); err != nil {
		return nil, err
	}
	if r.result.Present {
		r.result.Value = rawJSON(r.value)
	}
	return r, nil
}

func (r *replay) apply(version VersionPatch) error {
	operations, err := decodeOperations(version.Patch)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(operations, r.mayAffect) {
		r.enqueue(operations)
		return nil
	}
	if err := r.flush(); err != nil {
		return err
	}
	r.enqueue(operations)
	if err := r.flush(); err != nil {
		return err
	}
	return r.recordChange(version.Number)
}

// recordChange records the version in the result if the tracked value changed.
func (r *replay) recordChange(number uint64) error {
	value, present, err := r.currentValue()
	if err != nil {
		return err
	}
	if present == r.result.Present && reflect.DeepEqual(value, r.value) {
		return nil
	}
	r.value = value
	r.result = Attribution{Found: true, Number: number, Present: present}
	if present {
		r.result.Value = rawJSON(value)
	}
	return nil
}

// enqueue queues operations for the next flush. It omits "test" operations, which
// passed when the patch was accepted: they may have tested the canonical form, and
// the document is in canonical form only after a flush.
func (r *replay) enqueue(operations []operation) {
	for _, op := range operations {
		if op.Op != "test" {
			r.pending = append(r.pending, op)
		}
	}
}

// flush applies the queued operations in batches of at most maxOperations.
func (r *replay) flush() error {
	for batch := range slices.Chunk(r.pending, maxOperations) {
		doc, err := applyOperationsInScope(r.doc, batch, decodeTrusted)
		if err != nil {
			return err
		}
		r.doc = doc
	}
	r.pending = nil
	return nil
}

// currentValue returns the tracked value. It encodes only the part of the document
// that can contain it.
func (r *replay) currentValue() (value any, present bool, err error) {
	part := r.doc
	if s := newScope(); len(r.tokens) > 0 && s.addTokens(r.tokens) {
		part = r.doc.restrictedTo(s)
	}
	tree, err := part.tree()
	if err != nil {
		return nil, false, err
	}
	value, present = resolve(tree, r.tokens)
	return value, present, nil
}

// mayAffect reports whether an operation may change the tracked value.
func (r *replay) mayAffect(op operation) bool {
	if op.Op == "test" {
		return false
	}
	if r.overlaps(*op.Path) {
		return true
	}
	return op.Op == "move" && r.overlaps(*op.From)
}

// overlaps reports whether a pointer refers to the tracked value, to a part or a
// parent of it, or to an array element that may precede it or one of its parents.
// It returns true for malformed pointers.
func (r *replay) overlaps(pointer string) bool {
	tokens, err := ParsePointer(pointer)
	if err != nil {
		return true
	}
	common := 0
	for common < min(len(tokens), len(r.tokens)) && tokens[common] == r.tokens[common] {
		common++
	}
	if common == len(tokens) || common == len(r.tokens) {
		return true
	}
	_, isIndex := arrayIndex(tokens[common])
	return common == len(tokens)-1 && (isIndex || tokens[common] == "-")
}
