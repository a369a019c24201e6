package stand

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var vocabulary = strings.Fields(`peanut sesame milk wheat soy mustard cashew
almond egg fish lupin celery sulphite barley oats rye walnut pistachio panel
icon linen vellum gesso varnish binding chasuble fresco gilding tempera oak`)

// CompletionTokens returns the tokens that an engine generates for a prompt. They depend
// on the arguments alone, so that a load generator can compute the expected
// response to a request.
func CompletionTokens(model, adapter, prompt string, maxTokens int) []string {
	seed := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
	tokens := make([]string, completionLength(seed, maxTokens))
	for i := range tokens {
		seed = seed*6364136223846793005 + 1442695040888963407
		tokens[i] = fmt.Sprintf("%s%d ", vocabulary[(seed>>33)%uint64(len(vocabulary))], (seed>>20)%10)
	}
	return tokens
}

const minCompletionTokens = 4

func completionLength(seed uint64, maxTokens int) int {
	if maxTokens <= minCompletionTokens {
		return max(maxTokens, 1)
	}
	return minCompletionTokens + int(seed%uint64(maxTokens-minCompletionTokens+1))
}

var markerPattern = regexp.MustCompile(`\[req ([A-Za-z0-9_.-]+)\]`)

// Marker returns the text that a load generator includes in a request so that
// the stand-ins can count its executions.
func Marker(id string) string { return "[req " + id + "]" }

// markedRequestID returns the request ID in the marker of a text, or "" if the
// text has no marker.
func markedRequestID(text string) string {
	m := markerPattern.FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return m[1]
}
