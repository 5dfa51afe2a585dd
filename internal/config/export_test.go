package config

// ApplyUnscoped applies a patch to the whole document, without the restriction to
// the part that the patch concerns.
func ApplyUnscoped(doc *Document, patch []byte) (*Document, error) {
	base, err := doc.Canonical()
	if err != nil {
		return nil, err
	}
	operations, err := decodeOperations(patch)
	if err != nil {
		return nil, err
	}
	changed, err := patchBytes(base, operations)
	if err != nil {
		return nil, err
	}
	return Decode(changed)
}
