package inference

import (
	"bytes"
	"encoding/json"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

var usageField = []byte(`"usage"`)

// tokenCounter counts the tokens of a request and its response. It uses the
// usage that the engine reports; until there is one, it counts one token for
// each event of a stream.
type tokenCounter struct {
	prompt int // estimated prompt tokens
	events int
	usage  int // prompt and completion tokens reported by the engine; 0: none yet
}

// add counts one event of a stream, or the complete body of a unary response.
func (c *tokenCounter) add(data []byte, unary bool) {
	if !unary {
		c.events++
	}
	if !bytes.Contains(data, usageField) {
		return
	}
	var response struct {
		Usage *engine.Usage `json:"usage"`
	}
	if json.Unmarshal(data, &response) == nil && response.Usage != nil {
		c.usage = response.Usage.PromptTokens + response.Usage.CompletionTokens
	}
}

// total returns the number of prompt and completion tokens used so far.
func (c *tokenCounter) total() float64 {
	if c.usage > 0 {
		return float64(c.usage)
	}
	return float64(c.prompt + c.events)
}
