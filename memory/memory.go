// Package memory decides what a gateway does as the memory that it holds for its callers nears a
// budget: it closes idle connections first, then refuses new requests, then lets bodies wait. It
// also bounds what an agent holds, and counts bytes up to a bound for others.
package memory

// Budget is the memory in bytes that a gateway may hold for its callers; 0 means no bound.
type Budget int64

// Shares of the budget.
const (
	// idleShare is what may be held before idle connections are closed.
	idleShare = 0.6
	// refusalShare is what may be held before new requests are refused.
	refusalShare = 0.8
	// taskAnswerShare is what the answers in background tasks may hold.
	taskAnswerShare = 0.2
	// defaultTaskAnswers is what they may hold without a budget, in bytes.
	defaultTaskAnswers = 64 << 20
)

// Shares of a process's memory limit.
const (
	// RuntimeShare is what the Go runtime may use. The rest is for the program's text, memory of
	// the C library, bytes in socket buffers, and what the process allocates while a collection
	// runs.
	RuntimeShare = 0.7
	// liveShare is what of the runtime's memory, less ownMemory, may be held for callers. The
	// rest is for garbage.
	liveShare = 0.7
	// ownMemory is what a gateway holds apart from callers, in bytes.
	ownMemory = 12 << 20
	// minBudget leaves room for some callers on any instance, in bytes.
	minBudget = 4 << 20
)

// BudgetOf returns the budget of a gateway on an instance with a memory limit in bytes; 0 without
// a limit.
func BudgetOf(limit int64) Budget {
	if limit <= 0 {
		return 0
	}
	live := liveShare * (RuntimeShare*float64(limit) - ownMemory)
	return Budget(max(live, minBudget))
}

// Excess returns by how many bytes too much is held to keep idle connections; 0 if they may stay.
func (b Budget) Excess(held int64) int64 {
	if b == 0 {
		return 0
	}
	return max(0, held-int64(idleShare*float64(b)))
}

// Refuses reports whether new requests are refused.
func (b Budget) Refuses(held int64) bool {
	return b != 0 && held > int64(refusalShare*float64(b))
}

// Fits reports whether more bytes may be held.
func (b Budget) Fits(held, more int64) bool {
	return b == 0 || held+more <= int64(b)
}

// TaskAnswers returns how many bytes the answers in background tasks may hold.
func (b Budget) TaskAnswers() int64 {
	if b == 0 {
		return defaultTaskAnswers
	}
	return int64(taskAnswerShare * float64(b))
}

// MayRead reports whether a body may be read beside others that hold bodies bytes. One that is
// larger than the budget is read alone.
func (b Budget) MayRead(held, bodies, body int64) bool {
	return bodies == 0 || b.Fits(held, body)
}

const (
	// agentAnswerShare is the part of an agent's budget for answers of claimed dispatches.
	agentAnswerShare = 0.25
	// agentBodyShare is the part of an agent's budget for bodies of dispatches.
	agentBodyShare = 0.5
	// hostedBodyShare is the part of an agent's budget for bodies of dispatches to agents that run
	// in a gateway, beside what the gateway holds for callers.
	hostedBodyShare = 0.2
	// defaultAgentBudget is the budget of an agent without a memory limit, in bytes.
	defaultAgentBudget = 256 << 20
)

// Agent bounds what an agent holds, in bytes.
type Agent struct {
	// Answers is for answers of claimed dispatches, stored and being recorded.
	Answers int64
	// Bodies is for bodies of dispatches at an agent, HostedBodies for those at all agents in a
	// gateway's process.
	Bodies, HostedBodies int64
}

// AgentOf returns the bounds of an agent on an instance with a memory limit in bytes; 0 for no
// limit.
func AgentOf(limit int64) Agent {
	b := BudgetOf(limit)
	if b == 0 {
		b = defaultAgentBudget
	}
	part := func(share float64) int64 { return int64(share * float64(b)) }
	return Agent{Answers: part(agentAnswerShare), Bodies: part(agentBodyShare), HostedBodies: part(hostedBodyShare)}
}
