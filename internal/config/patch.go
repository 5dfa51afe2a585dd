package config

import (
	"encoding/json"
	"fmt"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/rotisserie/eris"
)

const (
	// maxOperations bounds the operations of one patch.
	maxOperations = 10_000
	// maxCopiedBytes bounds the bytes that "copy" operations add to a document.
	// Repeated copies of a parent into its child grow it exponentially.
	maxCopiedBytes = 8 << 20
)

// operation is one operation of a JSON patch (RFC 6902).
type operation struct {
	Op    string          `json:"op"`
	Path  *string         `json:"path"`
	From  *string         `json:"from,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

// ApplyPatch applies an RFC 6902 patch to a valid document and validates both the
// result and the change. The patch is applied atomically: on failure ApplyPatch
// returns no document and an *InvalidError with all problems found.
func ApplyPatch(doc *Document, patch []byte) (*Document, error) {
	operations, err := decodeOperations(patch)
	if err != nil {
		return nil, err
	}
	var problems fieldErrors
	decode := func(data []byte) (part *Document, err error) {
		part, problems, err = decodeWithProblems(data)
		return part, err
	}
	next, err := applyOperationsInScope(doc, operations, decode)
	if err != nil {
		return nil, err
	}
	problems = append(problems, Validate(next)...)
	problems = append(problems, ValidateChange(doc, next)...)
	if err := problems.err(); err != nil {
		return nil, eris.Wrap(err, "validate")
	}
	return next, nil
}

// ApplyAccepted applies a patch that was already accepted. Instead of validating
// the result it compares its hash with the hash recorded at acceptance, and returns
// *HashMismatchError if they differ.
func ApplyAccepted(base *Snapshot, version uint64, patch []byte, hash string) (*Snapshot, error) {
	operations, err := decodeOperations(patch)
	if err != nil {
		return nil, err
	}
	doc, err := applyOperationsInScope(base.Document, operations, decodeTrusted)
	if err != nil {
		return nil, err
	}
	return acceptedSnapshot(version, doc, hash)
}

// DecodeAccepted decodes the document of a version that was already accepted. It
// returns *HashMismatchError if the hash differs from the one recorded at
// acceptance.
func DecodeAccepted(version uint64, data []byte, hash string) (*Snapshot, error) {
	doc, err := decodeTrusted(data)
	if err != nil {
		return nil, err
	}
	return acceptedSnapshot(version, doc, hash)
}

func acceptedSnapshot(version uint64, doc *Document, hash string) (*Snapshot, error) {
	snapshot, err := NewSnapshot(version, doc)
	if err != nil {
		return nil, err
	}
	if snapshot.Hash != hash {
		return nil, eris.Wrapf(&HashMismatchError{Want: hash, Got: snapshot.Hash}, "version %d", version)
	}
	return snapshot, nil
}

// applyOperationsInScope applies operations to the part of a document that they
// refer to. decode decodes the patched part.
func applyOperationsInScope(doc *Document, operations []operation, decode func([]byte) (*Document, error)) (*Document, error) {
	part := doc
	s, partial := scopeOf(operations)
	if partial {
		part = doc.restrictedTo(s)
	}
	base, err := part.Canonical()
	if err != nil {
		return nil, err
	}
	changed, err := applyToJSON(base, operations)
	if err != nil {
		return nil, err
	}
	result, err := decode(changed)
	if err != nil || !partial {
		return result, err
	}
	return doc.mergedWith(result, s), nil
}

// applyToJSON applies operations to a document in JSON.
func applyToJSON(base []byte, operations []operation) ([]byte, error) {
	patch, err := json.Marshal(operations)
	if err != nil {
		return nil, patchError("", "not a JSON patch: %v", err)
	}
	decoded, err := jsonpatch.DecodePatch(patch)
	if err != nil {
		return nil, patchError("", "not a JSON patch: %v", err)
	}
	changed, err := applyOperations(base, decoded)
	if err == nil {
		return changed, nil
	}
	failed, cause := firstFailingOperation(base, decoded)
	return nil, patchError(*operations[failed].Path, "operation %d (%s) cannot be applied: %v", failed, operations[failed].Op, cause)
}

func patchError(pointer, format string, args ...any) error {
	var problems fieldErrors
	problems.add(pointer, format, args...)
	return eris.Wrap(problems.err(), "patch")
}

// decodeOperations decodes a patch. It reports all malformed operations together.
func decodeOperations(patch []byte) ([]operation, error) {
	var operations []operation
	if err := json.Unmarshal(patch, &operations); err != nil {
		return nil, patchError("", "not a JSON patch: expected an array of operations (RFC 6902)")
	}
	if len(operations) == 0 {
		return nil, patchError("", "the patch has no operations")
	}
	if len(operations) > maxOperations {
		return nil, patchError("", "the patch has %d operations, more than %d", len(operations), maxOperations)
	}
	var problems fieldErrors
	for i, op := range operations {
		checkOperation(i, op, &problems)
	}
	if err := problems.err(); err != nil {
		return nil, eris.Wrap(err, "patch")
	}
	return operations, nil
}

func checkOperation(index int, op operation, problems *fieldErrors) {
	if op.Path == nil {
		problems.add("", "operation %d: path is missing", index)
		return
	}
	if _, err := ParsePointer(*op.Path); err != nil {
		problems.add(*op.Path, "operation %d: path is not a JSON pointer", index)
	}
	switch op.Op {
	case "add", "replace", "test":
		if op.Value == nil {
			problems.add(*op.Path, "operation %d: value is missing", index)
		}
	case "move", "copy":
		checkFrom(index, op, problems)
	case "remove":
	default:
		problems.add(*op.Path, "operation %d: unknown operation %q", index, op.Op)
	}
}

func checkFrom(index int, op operation, problems *fieldErrors) {
	if op.From == nil {
		problems.add(*op.Path, "operation %d: from is missing", index)
		return
	}
	if _, err := ParsePointer(*op.From); err != nil {
		problems.add(*op.From, "operation %d: from is not a JSON pointer", index)
	}
}

// OperationPanicError reports that the patch library panicked.
type OperationPanicError struct{ Value any }

// Error implements error.
func (e *OperationPanicError) Error() string {
	return fmt.Sprintf("unsupported operation: %v", e.Value)
}

// applyOperations calls the patch library. It returns a panic of the library as
// *OperationPanicError, so that a patch cannot crash the process.
func applyOperations(base []byte, patch jsonpatch.Patch) (changed []byte, err error) {
	defer func() {
		if value := recover(); value != nil {
			changed, err = nil, &OperationPanicError{Value: value}
		}
	}()
	options := jsonpatch.NewApplyOptions()
	options.SupportNegativeIndices = false
	options.AccumulatedCopySizeLimit = maxCopiedBytes
	options.EscapeHTML = false
	return patch.ApplyWithOptions(base, options)
}

// firstFailingOperation returns the index and the error of the first operation that
// cannot be applied. Operations are applied in order, so a prefix of the patch fails
// if and only if it contains that operation; the search is binary.
func firstFailingOperation(base []byte, patch jsonpatch.Patch) (int, error) {
	index := sort.Search(len(patch)-1, func(i int) bool {
		_, err := applyOperations(base, patch[:i+1])
		return err != nil
	})
	_, err := applyOperations(base, patch[:index+1])
	return index, err
}
