package agent

import (
	"bytes"
	"strconv"
)

// tokenCounter counts the tokens of an answer in the OpenAI format: the usage that the engine
// reports, or else the number of stream events.
type tokenCounter struct {
	events     int
	prompt     int
	completion int
}

var (
	eventPrefix         = []byte("data: ")
	promptTokensKey     = []byte(`"prompt_tokens":`)
	completionTokensKey = []byte(`"completion_tokens":`)
)

// read processes a part of the answer. A usage object split between two parts is missed; the
// number of events is used then.
func (c *tokenCounter) read(p []byte) {
	c.events += bytes.Count(p, eventPrefix)
	if n, ok := numberAfter(p, completionTokensKey); ok {
		c.completion = n
		c.prompt, _ = numberAfter(p, promptTokensKey)
	}
}

func (c *tokenCounter) tokens() int {
	if c.completion > 0 {
		return c.completion
	}
	// The last event of a stream is "[DONE]".
	return max(c.events-1, 0)
}

func numberAfter(p, mark []byte) (int, bool) {
	i := bytes.LastIndex(p, mark)
	if i < 0 {
		return 0, false
	}
	p = bytes.TrimLeft(p[i+len(mark):], " ")
	end := 0
	for end < len(p) && p[end] >= '0' && p[end] <= '9' {
		end++
	}
	n, err := strconv.Atoi(string(p[:end]))
	return n, err == nil
}
