// Package losses reads the request logs of gateways and says where worth was lost: which requests
// were late or not served, for what reason, and how much of all that was asked for they were.
package losses

import (
	"cmp"
	"slices"
	"time"
)

// Attempt is one request line of a gateway's log.
type Attempt struct {
	Route, Account     string
	Outcome, Execution string
	Status             int
	// Prompt and Answer are the sizes in tokens; both are 0 for plain services.
	Prompt, Answer int
	// Arrived is when the gateway had read the request.
	Arrived time.Time
	// Waited is the time in the queue, First that from the dispatch to the first byte.
	Waited, First time.Duration
}

// Reason is why a request was late or not served.
type Reason string

// Reasons of requests that were answered. Those of requests that were not are the outcome of the
// last attempt, with suffixAgain if an earlier attempt had been refused as well.
const (
	// ReasonInTime is no loss.
	ReasonInTime Reason = "in time"
	// ReasonReturned: the caller was refused first and came back too late.
	ReasonReturned Reason = "late: returned after "
	// ReasonWaited: the request waited in a queue for more than half of the objective.
	ReasonWaited Reason = "late: waited at the gateway"
	// ReasonSlowStart: the endpoint began the answer too late.
	ReasonSlowStart Reason = "late: slow to begin"

	lostPrefix  = "lost: "
	suffixAgain = ", refused before"
)

// answerTokenSize is the size of one answer token, in prompt tokens.
const answerTokenSize = 10

// Loss sums up the requests with one reason.
type Loss struct {
	Reason   Reason `json:"reason"`
	Requests int    `json:"requests"`
	// Share is the share of the size of all requests, where each route's mean request counts 1.
	Share float64 `json:"share"`
}

// Report is the account of a log.
type Report struct {
	Requests int    `json:"requests"`
	Attempts int    `json:"attempts"`
	Losses   []Loss `json:"losses"`
	// Unreadable counts lines that look like requests and could not be read.
	Unreadable int `json:"unreadable"`
}

// callerKey identifies the attempts of one request: a caller that returns states the same sizes.
type callerKey struct {
	route, account string
	prompt, answer int
}

// Account sums up attempts by the reason for which their requests were late or not served. Only
// requests with sizes count. objective is the time from the first attempt to the first byte.
func Account(attempts []Attempt, objective time.Duration) Report {
	sized := slices.DeleteFunc(slices.Clone(attempts), func(a Attempt) bool { return a.Prompt+a.Answer == 0 })
	slices.SortStableFunc(sized, func(a, b Attempt) int { return a.Arrived.Compare(b.Arrived) })
	means := meanSizes(sized)
	chains := make(map[callerKey][]Attempt)
	for _, a := range sized {
		k := callerKey{a.Route, a.Account, a.Prompt, a.Answer}
		chains[k] = append(chains[k], a)
	}
	sums := make(map[Reason]*Loss)
	total := 0.0
	for _, chain := range chains {
		size := chain[0].size() / means[chain[0].Route]
		total += size
		reason := reasonOf(chain, objective)
		l := sums[reason]
		if l == nil {
			l = &Loss{Reason: reason}
			sums[reason] = l
		}
		l.Requests++
		l.Share += size
	}
	r := Report{Requests: len(chains), Attempts: len(sized), Losses: []Loss{}}
	for _, l := range sums {
		l.Share /= total
		r.Losses = append(r.Losses, *l)
	}
	slices.SortFunc(r.Losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Reason, b.Reason))
	})
	return r
}

func (a *Attempt) size() float64 { return float64(max(1, a.Prompt+answerTokenSize*a.Answer)) }

func meanSizes(attempts []Attempt) map[string]float64 {
	sums, counts := make(map[string]float64), make(map[string]float64)
	for i := range attempts {
		sums[attempts[i].Route] += attempts[i].size()
		counts[attempts[i].Route]++
	}
	for route := range sums {
		sums[route] /= counts[route]
	}
	return sums
}

// reasonOf returns the reason of a request with these attempts, in the order of their arrival.
func reasonOf(chain []Attempt, objective time.Duration) Reason {
	first, last := &chain[0], &chain[len(chain)-1]
	if last.Outcome != outcomeAnswered || last.Status >= 500 {
		reason := lostPrefix + last.Outcome
		if last.Outcome == outcomeAnswered {
			reason = lostPrefix + "failed at the endpoint"
		}
		if len(chain) > 1 {
			reason += suffixAgain
		}
		return Reason(reason)
	}
	switch began := last.Arrived.Add(last.Waited + last.First); {
	case began.Sub(first.Arrived) <= objective:
		return ReasonInTime
	case len(chain) > 1:
		return ReasonReturned + Reason(first.Outcome)
	case last.Waited > objective/2:
		return ReasonWaited
	}
	return ReasonSlowStart
}
