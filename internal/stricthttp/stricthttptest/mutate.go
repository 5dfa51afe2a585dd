package stricthttptest

import (
	"math/rand/v2"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxMutations bounds the mutations of one response.
const maxMutations = 3

// One in statusMutation mutations changes the first maxStatusBytes bytes, up to the status.
const (
	statusMutation = 5
	maxStatusBytes = len("HTTP/1.1 200 ")
)

// oddBytes are bytes that a mutation puts into a response: those with a meaning in a head, and some
// that it may not hold. A line feed alone may end a line (RFC 9112, 2.2), and so the head.
const oddBytes = " \t\r:;,0159fHX-\x00\x01\x7f\x80\xff"

// soundHead matches a final response, after interim ones, with a sound head.
var soundHead = regexp.MustCompile(`^(HTTP/1\.[0-9] 1[0-9][0-9]( .*)?\r?\n` + soundFields + `)*HTTP/1\.[0-9] [2-5][0-9][0-9]( .*)?\r?\n` + soundFields)

const soundFields = `([!#$%&'*+.^_\x60|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r?\n)*\r?\n`

// HasSoundHead reports whether a text begins with the sound head of a final response. It shares no
// code with the product.
func HasSoundHead(text string) bool {
	runes := make([]rune, len(text)) // one for each byte, so that the expression matches bytes
	for i := range len(text) {
		runes[i] = rune(text[i])
	}
	return soundHead.MatchString(string(runes))
}

// Mutate returns the response with a few random changes of its framing, that is, of everything but
// the body, which seed and response determine. The response has a length, or chunks and a trailer,
// and may follow an interim one.
func (r Response) Mutate(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(r.Fields+r.Body)))
	head, rest := r.framing(random)
	framing := []byte(head + rest)
	bodyAt := len(head)
	for range 1 + random.IntN(maxMutations) {
		at := random.IntN(len(framing))
		if random.IntN(statusMutation) == 0 {
			at = random.IntN(maxStatusBytes)
		}
		odd := oddBytes[random.IntN(len(oddBytes))]
		switch random.IntN(3) {
		case 0:
			framing[at] = odd
		case 1:
			framing = append(framing[:at], append([]byte{odd}, framing[at:]...)...)
			if at < bodyAt {
				bodyAt++
			}
		case 2:
			framing = append(framing[:at], framing[at+1:]...)
			if at < bodyAt {
				bodyAt--
			}
		}
	}
	return string(framing[:bodyAt]) + r.Body + string(framing[bodyAt:])
}

// framing returns what is sent before and after the body.
func (r Response) framing(random *rand.Rand) (before, after string) {
	text := r.Sound()
	if random.IntN(2) == 0 {
		text = r.chunked("X-Even: 1")
	}
	if random.IntN(4) == 0 {
		text = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + text
	}
	at := strings.Index(text, r.Body)
	return text[:at], text[at+len(r.Body):]
}
