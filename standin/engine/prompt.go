package engine

import (
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken       = 4
	blockBytes          = 256
	blockTokens         = blockBytes / bytesPerToken
	defaultOutputTokens = 16
	maxOutputTokens     = 32768
	hashDigitsMask      = 0xffff
)

// outputLengthMarker matches the text, such as [[tokens=40]], by which a test or the load tool sets
// the number of output tokens in a prompt.
var outputLengthMarker = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)

// prompt is the parsed text of a request.
type prompt struct {
	hash   uint64
	tokens int
	// prefixHash identifies the prompt in cache events.
	prefixHash uint64
	// blocks are the hashes of the first block, the first two blocks, and so on.
	blocks []uint64
	// capped is set when the caller's limit determined outputTokens.
	outputTokens int
	capped       bool
}

// parsePrompt parses the text of a request. A limit of zero means no limit.
func parsePrompt(text string, limit int) prompt {
	parsed := prompt{tokens: len(text)/bytesPerToken + 1}
	digest := xxhash.New()
	rest := text
	for len(rest) >= blockBytes {
		_, _ = digest.WriteString(rest[:blockBytes])
		parsed.blocks = append(parsed.blocks, digest.Sum64())
		rest = rest[blockBytes:]
	}
	_, _ = digest.WriteString(rest)
	parsed.hash = digest.Sum64()
	parsed.outputTokens, parsed.capped = outputLength(text, limit)
	return parsed
}

func outputLength(text string, limit int) (int, bool) {
	marked := outputLengthMarker.FindStringSubmatch(text)
	if marked == nil {
		if limit > 0 {
			return min(limit, maxOutputTokens), true
		}
		return defaultOutputTokens, false
	}
	length, _ := strconv.Atoi(marked[1])
	length = min(max(length, 1), maxOutputTokens)
	if limit > 0 && limit < length {
		return limit, true
	}
	return length, false
}

// Token returns the text of an output token, which depends only on the prompt and the index.
func Token(promptHash uint64, index int) string {
	return string(appendToken(nil, promptHash, index))
}

// Hash returns the hash of a prompt for use with Token.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

func appendToken(buffer []byte, promptHash uint64, index int) []byte {
	const digits = "0123456789abcdef"
	buffer = append(buffer, 'w')
	buffer = strconv.AppendInt(buffer, int64(index), 10)
	buffer = append(buffer, '-')
	short := promptHash & hashDigitsMask
	for shift := 12; shift >= 0; shift -= 4 {
		buffer = append(buffer, digits[short>>shift&0xf])
	}
	return append(buffer, ' ')
}
