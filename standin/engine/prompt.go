package engine

import (
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken  = 4
	blockBytes     = 256
	blockTokens    = blockBytes / bytesPerToken
	defaultLength  = 16
	longestOutput  = 32768
	hashDigitsMask = 0xffff
)

// lengthMarker lets a test or the load tool choose the output's length.
var lengthMarker = regexp.MustCompile(`\[\[tokens=(\d{1,6})\]\]`)

// prompt is what the engine knows of a request's text.
type prompt struct {
	hash   uint64
	tokens int
	// prefixHash names the leading part in cache events.
	prefixHash uint64
	// blocks are the hashes of the text's leading parts, each one block longer.
	blocks []uint64
	// length is the number of output tokens; capped says that the caller's limit cut it.
	length int
	capped bool
}

// readPrompt hashes the text. A limit of zero stands for none.
func readPrompt(text string, limit int) prompt {
	read := prompt{tokens: len(text)/bytesPerToken + 1}
	digest := xxhash.New()
	rest := text
	for len(rest) >= blockBytes {
		_, _ = digest.WriteString(rest[:blockBytes])
		read.blocks = append(read.blocks, digest.Sum64())
		rest = rest[blockBytes:]
	}
	_, _ = digest.WriteString(rest)
	read.hash = digest.Sum64()
	read.length, read.capped = outputLength(text, limit)
	return read
}

func outputLength(text string, limit int) (int, bool) {
	marked := lengthMarker.FindStringSubmatch(text)
	if marked == nil {
		if limit > 0 {
			return min(limit, longestOutput), true
		}
		return defaultLength, false
	}
	length, _ := strconv.Atoi(marked[1])
	length = min(max(length, 1), longestOutput)
	if limit > 0 && limit < length {
		return limit, true
	}
	return length, false
}

// Token returns the text of an output token. It depends on the prompt and the index only.
func Token(promptHash uint64, index int) string {
	return string(appendToken(nil, promptHash, index))
}

// Hash returns the hash of a prompt's text, by which Token tells prompts apart.
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
