package engine

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

const (
	// DefaultCrashMarker is the text that, in a prompt, crashes the engine that
	// runs it.
	DefaultCrashMarker = "[[crash]]"
	// defaultMaxTokens applies to requests without max_tokens.
	defaultMaxTokens = 16
	// bytesPerToken is the typical average for English text.
	bytesPerToken = 4
)

// lengthMarker in a prompt sets the length of the completion in tokens, up to
// max_tokens.
var lengthMarker = regexp.MustCompile(`\[\[len=(\d+)\]\]`)

// LengthMarker returns the prompt text that makes the completion n tokens long.
func LengthMarker(n int) string { return fmt.Sprintf("[[len=%d]]", n) }

// Prompt returns the text of a request that determines its completion.
func Prompt(request *engine.InferenceRequest) string {
	if len(request.Messages) == 0 {
		return request.Prompt
	}
	var text strings.Builder
	for _, message := range request.Messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// PromptHash returns the hash that identifies a prompt in run records. Checkers
// use it to find the runs of a request whose ID never reached the caller.
func PromptHash(prompt string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prompt)) // a hash write cannot fail
	return hash.Sum64()
}

// PromptTokens returns the number of tokens that the stand-in counts for a prompt.
func PromptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// CompletionLength returns the number of tokens generated for a prompt, and
// whether max_tokens limited it.
func CompletionLength(prompt string, maxTokens int) (tokens int, limited bool) {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	match := lengthMarker.FindStringSubmatch(prompt)
	if match == nil {
		return maxTokens, true
	}
	requested, err := strconv.Atoi(match[1])
	if err != nil || requested >= maxTokens {
		return maxTokens, true
	}
	return requested, false
}

// tokenGenerator produces the tokens of one completion. They depend only on the
// request ID and the prompt.
type tokenGenerator struct{ seed uint64 }

func newTokenGenerator(requestID, prompt string) tokenGenerator {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(requestID)) // a hash write cannot fail
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(prompt))
	return tokenGenerator{seed: hash.Sum64()}
}

// token returns the text of the i-th token, which is a word and a space.
func (g tokenGenerator) token(i int) string {
	mixed := (g.seed ^ uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return strconv.FormatUint((mixed>>32)&0xffffff, 36) + " "
}

func (g tokenGenerator) text(tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(g.token(i))
	}
	return text.String()
}

// ExpectedCompletion returns the complete text generated for a request. A client
// uses it to check that a response is complete and belongs to its request.
func ExpectedCompletion(requestID string, request *engine.InferenceRequest) string {
	prompt := Prompt(request)
	tokens, _ := CompletionLength(prompt, request.MaxTokens)
	return newTokenGenerator(requestID, prompt).text(tokens)
}
