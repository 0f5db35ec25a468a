package experiment

import (
	"strconv"
	"strings"
)

const (
	bytesPerToken = 4
	filler        = "tea chest ledger line "
)

// Prompt is the text of a request. All requests of an organisation and class share the
// same System text.
type Prompt struct {
	System string
	User   string
}

// Prompt returns the request's text. It ends with the number of output tokens, from
// which the stand-in engines take the length of their answer.
func (r Request) Prompt() Prompt {
	shared := min(r.Class.PrefixTokens, r.PromptTokens) * bytesPerToken
	system, user := strings.Builder{}, strings.Builder{}
	fill(&system, r.Organisation.ID+" "+r.Class.ID+" ", shared)
	fill(&user, r.ID+" ", r.PromptTokens*bytesPerToken-shared)
	user.WriteString("[[tokens=" + strconv.Itoa(r.OutputTokens) + "]]")
	return Prompt{System: system.String(), User: user.String()}
}

// fill writes start and then filler until the text has at least length bytes.
func fill(text *strings.Builder, start string, length int) {
	text.Grow(length + len(start) + len(filler))
	text.WriteString(start)
	for text.Len() < length {
		text.WriteString(filler)
	}
}

// Secret returns the organisation's API key.
func (o Organisation) Secret() string { return "load-secret-" + o.ID }
