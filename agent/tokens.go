package agent

import (
	"bytes"
	"strconv"
)

// tokenCounter counts the tokens of an answer in the OpenAI format: what the engine
// states as usage, else the events of a stream.
type tokenCounter struct {
	events     int
	prompt     int
	completion int
}

var (
	eventMark      = []byte("data: ")
	promptMark     = []byte(`"prompt_tokens":`)
	completionMark = []byte(`"completion_tokens":`)
)

// read takes in a part of the answer. A statement of usage that is split between two
// parts is missed, and the count of events is used.
func (c *tokenCounter) read(p []byte) {
	c.events += bytes.Count(p, eventMark)
	if n, ok := numberAfter(p, completionMark); ok {
		c.completion = n
		c.prompt, _ = numberAfter(p, promptMark)
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
