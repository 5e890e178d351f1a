package limit

import "time"

// calls holds the outstanding calls in reusable slots.
type calls struct {
	slots  []call
	free   []int
	gen    uint64
	open   int
	tokens int
	// prefilling is the prompt tokens of calls whose first token was not reported.
	prefilling int
	// reportsFirst is set once the caller has reported a first token.
	reportsFirst bool
}

type call struct {
	used   bool
	begun  bool
	gen    uint64
	prompt int
	start  time.Time
	// concurrentPrefill counts the prompt tokens whose prefill shares the engine with this call's:
	// those ahead of it and those that joined within its expected time. Calls that join later
	// are not counted, since the calls that join a slow engine would hide that it is slow.
	concurrentPrefill int
}

func (c *calls) add(now time.Time, prompt int) Ticket {
	slot := len(c.slots)
	if n := len(c.free); n > 0 {
		slot = c.free[n-1]
		c.free = c.free[:n-1]
	} else {
		c.slots = append(c.slots, call{})
	}
	c.gen++
	c.slots[slot] = call{used: true, gen: c.gen, prompt: prompt, start: now}
	if c.reportsFirst {
		c.slots[slot].concurrentPrefill = c.prefilling
	}
	t := Ticket{slot: slot, gen: c.gen, start: now}
	c.open++
	c.tokens += prompt
	c.prefilling += prompt
	return t
}

func (c *calls) get(t Ticket) *call {
	if t.slot >= len(c.slots) {
		return nil
	}
	s := &c.slots[t.slot]
	if !s.used || s.gen != t.gen {
		return nil
	}
	return s
}

// addConcurrentPrefill adds a new prompt to the calls whose prefill it runs concurrently with.
func (c *calls) addConcurrentPrefill(now time.Time, prompt int, first *latencyModel) {
	if !c.reportsFirst {
		return
	}
	for i := range c.slots {
		o := &c.slots[i]
		if o.used && !o.begun && now.Sub(o.start).Seconds() <= first.predict(float64(o.prompt+o.concurrentPrefill)) {
			o.concurrentPrefill += prompt
		}
	}
}

// begin records the first token of a call; it returns false for an unknown call or a repeat.
func (c *calls) begin(t Ticket) bool {
	s := c.get(t)
	if s == nil || s.begun {
		return false
	}
	s.begun = true
	c.prefilling -= s.prompt
	c.reportsFirst = true
	return true
}

func (c *calls) remove(t Ticket) {
	s := c.get(t)
	if s == nil {
		return
	}
	c.open--
	c.tokens -= s.prompt
	if !s.begun {
		c.prefilling -= s.prompt
	}
	s.used = false
	c.free = append(c.free, t.slot)
}
