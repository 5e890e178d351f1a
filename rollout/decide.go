package rollout

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// stageEvidence is the number of judged answers of the new version without which a
	// stage above smallShare is not left.
	stageEvidence = 20
	// entryEvidence is the number without which smallShare is not exceeded.
	entryEvidence = 15
	// routeEvidence is the number on each route for which a late stage waits no longer
	// than its planned time.
	routeEvidence = 8
	// smallShare is the share up to which the lack of answers does not hold a move.
	smallShare = 0.03
	// forecastFrom is the part of the time after which a forecast may end a move early.
	forecastFrom = 0.4
	// forecastSlack is how much faster than so far evidence would have to come before a
	// forecast ends a move.
	forecastSlack = 3
	// cited is the number of comparisons in a decision.
	cited = 5
)

// Decide adds the observations made since the last call and returns what to do now. The
// same move and no new observations give the same action, so a decision that was not
// committed is repeated.
func (j *Judge) Decide(now time.Time, move Move, observations []Observation) Decision {
	j.Observe(now, move, observations)
	all, robust, group := j.odds()
	if robust >= 1/falseAlarmRate {
		return j.takeBack(j.badCause(robust))
	}
	if all >= 1/falseAlarmRate {
		if mean, n, slower := j.peersSlower(group); slower {
			return j.takeBack(j.peersCause(group, mean, n))
		}
	}
	if move.Watching {
		return j.watching(now)
	}
	s := scheduleOf(move)
	next := s.next(move.Share)
	if next == len(plan) {
		return j.decision(StartWatch, 1, "full share; the old version stays warm")
	}
	share, obstacle := j.obstacle(now, s, next, all, robust, group)
	if obstacle != "" && j.hopeless(now, s, next) {
		return j.takeBack(fmt.Sprintf("cannot finish by the deadline: %s", obstacle))
	}
	if due := s.due(next, j.move.Share, j.since); now.Before(due) {
		return j.decision(Hold, move.Share, j.holdCause("next stage planned at "+clock(due), all, robust, group))
	}
	if obstacle != "" {
		cause := fmt.Sprintf("%s; the next stage must begin by %s or the move is taken back", obstacle, clock(s.latest(next)))
		if strings.HasPrefix(obstacle, group.String()) {
			return j.decision(Hold, move.Share, cause)
		}
		return j.decision(Hold, move.Share, j.holdCause(cause, all, robust, group))
	}
	if move.Share <= 0 {
		return j.decision(Raise, share, "the first share is given")
	}
	if share >= 1 {
		return j.decision(StartWatch, 1, "no difference that counts was found; the old version stays warm")
	}
	return j.decision(Raise, share, "no difference that counts was found")
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05") + " UTC" }

// decision builds a decision; a change of share or watch is a new stage.
func (j *Judge) decision(action Action, share float64, cause string) Decision {
	stage := j.move.Stage
	if action == Raise || action == StartWatch {
		stage++
	}
	d := Decision{Action: action, Stage: stage, Share: share, Cause: cause}
	if action != Hold {
		d.Evidence = j.evidence(cited)
	}
	return d
}

func (j *Judge) takeBack(cause string) Decision {
	d := j.decision(TakeBack, 0, cause)
	d.Stage++
	return d
}

func (j *Judge) watching(now time.Time) Decision {
	end := j.since.Add(j.watch())
	if now.Before(end) {
		return j.decision(Hold, 1, "full share; watched until "+clock(end))
	}
	d := j.decision(Finish, 1, fmt.Sprintf("all traffic moved, no difference that counts in %d answers", j.newSeen))
	d.Stage++
	return d
}

// obstacle says what stands against the next stage, or returns the share it may have.
func (j *Judge) obstacle(now time.Time, s schedule, next int, all, robust float64, group groupName) (float64, string) {
	if robust >= suspicion {
		return 0, "a difference is suspected and being examined: " + j.strongest()
	}
	if all >= 1/falseAlarmRate && now.Before(j.patience(s, next)) {
		return 0, fmt.Sprintf("%s differs and the others are being examined", group)
	}
	if j.move.Share <= smallShare && plan[next].share > smallShare && now.Before(doubtUntil(s, next)) && j.doubtful() {
		return 0, "the answers so far are slower than those of the old version, and more are needed to tell: " + j.strongest()
	}
	if need, have := j.needed(); have < need {
		return 0, fmt.Sprintf("%d of %d needed answers of %s were judged, %.0f came in this stage", have, need, j.move.To, j.loadN)
	}
	if route := j.unjudged(plan[next].share); route != "" && now.Before(j.patience(s, next)) {
		return 0, fmt.Sprintf("route %s has fewer than %d judged answers of %s", route, routeEvidence, j.move.To)
	}
	share := bounded(j.move.Share, plan[next].share, j.load, j.cold > 0.25)
	if j.loadN == 0 {
		share = plan[next].share
	}
	if share == 0 {
		return 0, fmt.Sprintf("the endpoints of %s are at %.0f%% of what they can bear", j.move.To, j.load*100)
	}
	return share, ""
}

// needed returns how many judged answers the present share needs, and has.
func (j *Judge) needed() (need, have int) {
	switch {
	case j.move.Share < smallShare:
		return 0, 0
	case j.move.Share <= smallShare:
		return entryEvidence, j.lines[0].judged
	default:
		return stageEvidence, j.stageJudged
	}
}

// unjudged names a route with too few judged answers before a share above smallShare.
// A route so rare that the old version answered fewer than routeEvidence is not waited for.
func (j *Judge) unjudged(next float64) string {
	if next <= smallShare {
		return ""
	}
	for _, l := range j.lines[1:] {
		if l.judged < routeEvidence && l.observed >= routeEvidence {
			return l.errors.route
		}
	}
	return ""
}

// patienceShare is the part of the slack that one small stage may spend on rare routes
// or on telling a bad version from a bad endpoint.
const patienceShare = 0.25

// patience is until when a stage waits for such evidence. Later stages do not wait: there
// the slack is needed for bursts and cold endpoints.
func (j *Judge) patience(s schedule, next int) time.Time {
	due, latest := s.due(next, j.move.Share, j.since), s.latest(next)
	if j.move.Share > plan[2].share {
		return due
	}
	return due.Add(time.Duration(patienceShare * float64(max(0, latest.Sub(due)))))
}

// doubtUntil is until when a doubtful version stays at smallShare. It takes nearly all of the
// slack: with the shortest later stages a slow version that is not caught before meets 4.2%
// of the requests up to full share, and 15% with the planned ones.
func doubtUntil(s schedule, next int) time.Time { return s.latest(next).Add(-s.leastDwell()) }

// hopeless reports whether the move can no longer be at full share by its deadline: its
// next stage is past its latest start, or at three times the rate of answers in this
// stage those it needs would come too late.
func (j *Judge) hopeless(now time.Time, s schedule, next int) bool {
	latest := s.latest(next)
	if !now.Before(latest) {
		return true
	}
	need, have := j.needed()
	elapsed := now.Sub(j.since)
	if have >= need || now.Before(s.start.Add(s.part(forecastFrom))) || elapsed < s.part(plan[1].start) {
		return false
	}
	rate := forecastSlack * (j.loadN + 1) / elapsed.Seconds()
	return now.Add(time.Duration(float64(need-have) / rate * float64(time.Second))).After(latest)
}

// holdCause adds an endpoint or domain that alone stands out to the cause of a hold.
func (j *Judge) holdCause(cause string, all, robust float64, group groupName) string {
	if all >= 1/falseAlarmRate && robust < suspicion {
		return fmt.Sprintf("%s; so far only %s differs", cause, group)
	}
	return cause
}

// strongest words the strongest comparison.
func (j *Judge) strongest() string {
	all := j.evidence(1)
	if len(all) == 0 {
		return "no answers"
	}
	return j.wording(all[0])
}

func (j *Judge) wording(e Evidence) string {
	value := func(v float64) string { return fmt.Sprintf("%.0f ms", v*1000) }
	what := string(e.Measure)
	if e.Measure == MeasureErrors {
		value = func(v float64) string { return fmt.Sprintf("%.1f%%", v*100) }
		what = "failed answers"
	}
	if e.OldN == 0 {
		return fmt.Sprintf("%s on %s: %s of %d answers of %s", what, route(e.Route), value(e.New), e.NewN, j.move.To)
	}
	return fmt.Sprintf("%s on %s: %s over %d answers of %s, %s over %d of %s",
		what, route(e.Route), value(e.New), e.NewN, j.move.To, value(e.Old), e.OldN, j.move.From)
}

func route(name string) string {
	if name == AllRoutes {
		return name
	}
	return "route " + name
}

func (j *Judge) badCause(robust float64) string {
	endpoints, domains := 0, 0
	for g, n := range j.answered {
		switch {
		case n == 0:
		case j.isDomain[g]:
			domains++
		default:
			endpoints++
		}
	}
	return fmt.Sprintf("%s is worse than %s: %s; chance of a false alarm below 1 in %s; %s in %s compared, none alone explains it",
		j.move.To, j.move.From, j.strongest(), Odds(robust), count(endpoints, "endpoint"), count(domains, "failure domain"))
}

// mostOdds is the largest x that is worded; more would claim what no model bears.
const mostOdds = 1e9

// Odds words the x of a chance of 1 in x, rounded down to two digits.
func Odds(x float64) string {
	x = math.Floor(math.Min(x, mostOdds))
	unit := math.Pow(10, math.Max(0, math.Floor(math.Log10(x))-1))
	digits := strconv.FormatFloat(math.Floor(x/unit)*unit, 'f', 0, 64)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
