package config

// ApplyUnscoped applies a patch to the whole document instead of the entries that
// the patch refers to.
func ApplyUnscoped(doc *Document, patch []byte) (*Document, error) {
	base, err := doc.Canonical()
	if err != nil {
		return nil, err
	}
	operations, err := decodeOperations(patch)
	if err != nil {
		return nil, err
	}
	changed, err := applyToJSON(base, operations)
	if err != nil {
		return nil, err
	}
	return Decode(changed)
}
