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
	// DefaultCrashMarker in a prompt crashes the engine that runs it.
	DefaultCrashMarker = "[[crash]]"
	// defaultMaxTokens applies to requests that name no maximum.
	defaultMaxTokens = 16
	// bytesPerToken is the usual average of English text.
	bytesPerToken = 4
)

// lengthMarker in a prompt sets the length of the answer, up to max_tokens.
var lengthMarker = regexp.MustCompile(`\[\[len=(\d+)\]\]`)

// LengthMarker returns the text that makes an answer n tokens long.
func LengthMarker(n int) string { return fmt.Sprintf("[[len=%d]]", n) }

// Prompt returns the text of a request that its answer depends on.
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

// PromptHash identifies a prompt in run records. Checkers use it to find the
// runs of a request whose ID never reached the caller.
func PromptHash(prompt string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prompt)) // a hash write cannot fail
	return hash.Sum64()
}

// PromptTokens returns the number of tokens that the stand-in counts for a prompt.
func PromptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// CompletionLength returns the number of tokens generated for a prompt, and
// whether max_tokens ended the answer.
func CompletionLength(prompt string, maxTokens int) (tokens int, limited bool) {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	match := lengthMarker.FindStringSubmatch(prompt)
	if match == nil {
		return maxTokens, true
	}
	wanted, err := strconv.Atoi(match[1])
	if err != nil || wanted >= maxTokens {
		return maxTokens, true
	}
	return wanted, false
}

// answerer produces the tokens of one answer.
type answerer struct{ seed uint64 }

func newAnswerer(requestID, prompt string) answerer {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(requestID)) // a hash write cannot fail
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(prompt))
	return answerer{seed: hash.Sum64()}
}

// token returns the text of the i-th token, which is a word and a space.
func (a answerer) token(i int) string {
	mixed := (a.seed ^ uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return strconv.FormatUint((mixed>>32)&0xffffff, 36) + " "
}

func (a answerer) text(tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(a.token(i))
	}
	return text.String()
}

// ExpectedCompletion returns the whole answer to a request, so that a client can
// check that what it received is complete and its own.
func ExpectedCompletion(requestID string, request *engine.InferenceRequest) string {
	prompt := Prompt(request)
	tokens, _ := CompletionLength(prompt, request.MaxTokens)
	return newAnswerer(requestID, prompt).text(tokens)
}
