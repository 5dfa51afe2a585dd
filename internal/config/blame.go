package config

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/rotisserie/eris"
)

// VersionPatch is a version and the accepted patch that created it.
type VersionPatch struct {
	Number uint64
	Patch  json.RawMessage
}

// Attribution says which version last changed the value at a JSON pointer.
type Attribution struct {
	Found   bool            // a version in the list changed the value
	Number  uint64          // the last version that did, when Found
	Present bool            // the value exists after the last version
	Value   json.RawMessage // the value, when Present
}

// Blame finds the last of the versions that changed the value at a pointer: it
// set, replaced or removed the value or a part of it, or moved it there by
// inserting or removing an array element before it. base is the document before
// the first version; versions are in ascending order. It returns *PointerError
// for a malformed pointer and *InvalidError when a patch does not apply.
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
		if err := replay.step(version); err != nil {
			return Attribution{}, eris.Wrapf(err, "version %d", version.Number)
		}
	}
	return replay.result, nil
}

// replay applies patches and watches one value. Patches that cannot concern the
// value are held back and applied together with the next one that can, so that
// the document is parsed once per candidate and not once per version.
type replay struct {
	tokens  []string
	doc     *Document
	pending []operation // operations held back
	value   any
	result  Attribution
}

func newReplay(base *Document, tokens []string) (*replay, error) {
	r := &replay{tokens: tokens, doc: base}
	var err error
	if r.value, r.result.Present, err = r.lookup(); err != nil {
		return nil, err
	}
	if r.result.Present {
		r.result.Value = rawJSON(r.value)
	}
	return r, nil
}

func (r *replay) step(version VersionPatch) error {
	operations, err := decodeOperations(version.Patch)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(operations, r.concerns) {
		r.hold(operations)
		return nil
	}
	if err := r.flush(); err != nil {
		return err
	}
	r.hold(operations)
	if err := r.flush(); err != nil {
		return err
	}
	return r.compare(version.Number)
}

// compare notes the version when the watched value differs from before.
func (r *replay) compare(number uint64) error {
	value, present, err := r.lookup()
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

// hold keeps operations for the next flush. Tests of values, which passed when
// the patch was accepted, are left out: they may have tested the canonical form,
// which the document has only after a flush.
func (r *replay) hold(operations []operation) {
	for _, op := range operations {
		if op.Op != "test" {
			r.pending = append(r.pending, op)
		}
	}
}

// flush applies the operations held back, in portions within the limit on
// operations.
func (r *replay) flush() error {
	for portion := range slices.Chunk(r.pending, maxOperations) {
		doc, err := patched(r.doc, portion, decodeTrusted)
		if err != nil {
			return err
		}
		r.doc = doc
	}
	r.pending = nil
	return nil
}

// lookup finds the watched value in the part of the document that can hold it.
func (r *replay) lookup() (value any, present bool, err error) {
	part := r.doc
	if s := newScope(); len(r.tokens) > 0 && s.includeTokens(r.tokens) {
		part = r.doc.within(s)
	}
	tree, err := part.tree()
	if err != nil {
		return nil, false, err
	}
	value, present = resolve(tree, r.tokens)
	return value, present, nil
}

// concerns reports whether an operation may change the watched value.
func (r *replay) concerns(op operation) bool {
	if op.Op == "test" {
		return false
	}
	if r.overlaps(*op.Path) {
		return true
	}
	return op.Op == "move" && r.overlaps(*op.From)
}

// overlaps reports whether a pointer names the watched value, a part of it, a
// parent of it, or an array element that may stand before it or its parent.
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
