package config

import (
	"strconv"
	"strings"
)

var (
	tokenEscaper   = strings.NewReplacer("~", "~0", "/", "~1")
	tokenUnescaper = strings.NewReplacer("~1", "/", "~0", "~")
)

// Pointer joins reference tokens into a JSON pointer (RFC 6901).
func Pointer(tokens ...string) string {
	var b strings.Builder
	for _, token := range tokens {
		b.WriteByte('/')
		b.WriteString(tokenEscaper.Replace(token))
	}
	return b.String()
}

// ParsePointer splits a JSON pointer (RFC 6901) into its reference tokens. The
// empty pointer, which refers to the whole document, has none. It returns
// *PointerError if the pointer is malformed.
func ParsePointer(pointer string) ([]string, error) {
	if pointer == "" {
		return nil, nil
	}
	if pointer[0] != '/' {
		return nil, &PointerError{Pointer: pointer}
	}
	tokens := strings.Split(pointer[1:], "/")
	for i, token := range tokens {
		if !validEscapes(token) {
			return nil, &PointerError{Pointer: pointer}
		}
		tokens[i] = tokenUnescaper.Replace(token)
	}
	return tokens, nil
}

// validEscapes reports whether every "~" in a token starts "~0" or "~1".
func validEscapes(token string) bool {
	for i := range len(token) {
		if token[i] != '~' {
			continue
		}
		if i+1 == len(token) || (token[i+1] != '0' && token[i+1] != '1') {
			return false
		}
	}
	return true
}

// resolve returns the value that the tokens refer to in a decoded JSON value.
func resolve(value any, tokens []string) (any, bool) {
	for _, token := range tokens {
		switch node := value.(type) {
		case map[string]any:
			child, ok := node[token]
			if !ok {
				return nil, false
			}
			value = child
		case []any:
			index, ok := arrayIndex(token)
			if !ok || index >= len(node) {
				return nil, false
			}
			value = node[index]
		default:
			return nil, false
		}
	}
	return value, true
}

// arrayIndex parses a reference token as an array index: decimal digits
// without leading zeros.
func arrayIndex(token string) (int, bool) {
	if token == "" || (len(token) > 1 && token[0] == '0') {
		return 0, false
	}
	index, err := strconv.ParseUint(token, 10, 31)
	return int(index), err == nil
}
