package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// authenticate returns the name of the operator whose key is in the request's
// "Authorization: Bearer KEY" header. Errors are *problem.Error.
func (s *server) authenticate(r *http.Request) (string, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", problem.New(problem.MissingKey, "send an operator key as \"Authorization: Bearer KEY\"")
	}
	current := s.Current()
	if current == nil {
		return "", problem.New(problem.NoConfiguration, "operator keys are part of the configuration")
	}
	name, ok := findOperator(current.Document.Operators, strings.TrimSpace(key))
	if !ok {
		return "", problem.New(problem.InvalidKey, "the key is not that of an operator")
	}
	return name, nil
}

// findOperator returns the name of the operator that has the key. It compares
// with every operator's key, each in constant time, so that the duration reveals
// nothing about a stored key.
func findOperator(operators map[string]config.Operator, key string) (string, bool) {
	presented := sha256.Sum256([]byte(key))
	found, ok := "", false
	for name, operator := range operators {
		stored, err := hex.DecodeString(operator.KeySHA256)
		if err == nil && subtle.ConstantTimeCompare(stored, presented[:]) == 1 {
			found, ok = name, true
		}
	}
	return found, ok
}
