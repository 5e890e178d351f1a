package rollout

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// minStageAnswers is the number of judged answers of the new version that a stage above
	// smallShare needs before the next one.
	minStageAnswers = 20
	// minEntryAnswers is the number of judged answers needed to exceed smallShare.
	minEntryAnswers = 15
	// minRouteAnswers is the number of judged answers on each route that a stage waits for.
	// Late stages do not wait for it beyond their planned time.
	minRouteAnswers = 8
	// smallShare is the largest share that a move can reach without judged answers.
	smallShare = 0.03
	// forecastStart is the fraction of the move's time after which a forecast may end it early.
	forecastStart = 0.4
	// forecastSpeedup is the factor by which a forecast raises the rate of answers seen so
	// far. A move ends early only if even this rate is too low for the deadline.
	forecastSpeedup = 3
	// maxCitedEvidence bounds the comparisons in a decision.
	maxCitedEvidence = 5
)

// Decide adds the observations made since the last call and returns what to do now. The
// same move and no new observations give the same action, so a decision that was not
// committed is repeated.
func (j *Judge) Decide(now time.Time, move Move, observations []Observation) Decision {
	j.Observe(now, move, observations)
	all, robust, group := j.totalWealth()
	if robust >= 1/falseAlarmRate {
		return j.newTakeBack(j.worseCause(robust))
	}
	if all >= 1/falseAlarmRate {
		if mean, n, slower := j.peersAlsoSlower(group); slower {
			return j.newTakeBack(j.peersCause(group, mean, n))
		}
	}
	if move.Watching {
		return j.decideWatch(now)
	}
	s := scheduleOf(move)
	next := s.nextStage(move.Share)
	if next == len(plan) {
		return j.newDecision(StartWatch, 1, "full share; the old version stays warm")
	}
	share, obstacle := j.obstacle(now, s, next, all, robust, group)
	if obstacle != "" && j.missesDeadline(now, s, next) {
		return j.newTakeBack(fmt.Sprintf("cannot finish by the deadline: %s", obstacle))
	}
	if due := s.dueTime(next, j.move.Share, j.stageSince); now.Before(due) {
		return j.newDecision(Hold, move.Share, j.holdCause("next stage planned at "+formatClock(due), all, robust, group))
	}
	if obstacle != "" {
		cause := fmt.Sprintf("%s; the next stage must begin by %s or the move is taken back", obstacle, formatClock(s.latestStart(next)))
		if strings.HasPrefix(obstacle, group.String()) {
			return j.newDecision(Hold, move.Share, cause)
		}
		return j.newDecision(Hold, move.Share, j.holdCause(cause, all, robust, group))
	}
	if move.Share <= 0 {
		return j.newDecision(Raise, share, "the first share is given")
	}
	if share >= 1 {
		return j.newDecision(StartWatch, 1, "no difference that counts was found; the old version stays warm")
	}
	return j.newDecision(Raise, share, "no difference that counts was found")
}

func formatClock(t time.Time) string { return t.UTC().Format("15:04:05") + " UTC" }

// newDecision builds a decision; a raise or the start of the watch is a new stage.
func (j *Judge) newDecision(action Action, share float64, cause string) Decision {
	stage := j.move.Stage
	if action == Raise || action == StartWatch {
		stage++
	}
	d := Decision{Action: action, Stage: stage, Share: share, Cause: cause}
	if action != Hold {
		d.Evidence = j.evidence(maxCitedEvidence)
	}
	return d
}

func (j *Judge) newTakeBack(cause string) Decision {
	d := j.newDecision(TakeBack, 0, cause)
	d.Stage++
	return d
}

func (j *Judge) decideWatch(now time.Time) Decision {
	end := j.stageSince.Add(j.watchLength())
	if now.Before(end) {
		return j.newDecision(Hold, 1, "full share; watched until "+formatClock(end))
	}
	d := j.newDecision(Finish, 1, fmt.Sprintf("all traffic moved, no difference that counts in %d answers", j.newAnswers))
	d.Stage++
	return d
}

// obstacle returns the share of the next stage, or the reason why it cannot begin.
func (j *Judge) obstacle(now time.Time, s schedule, next int, all, robust float64, group groupName) (float64, string) {
	if robust >= suspicionThreshold {
		return 0, "a difference is suspected and being examined: " + j.describeStrongest()
	}
	if all >= 1/falseAlarmRate && now.Before(j.evidenceWaitEnd(s, next)) {
		return 0, fmt.Sprintf("%s differs and the others are being examined", group)
	}
	if j.move.Share <= smallShare && plan[next].share > smallShare && now.Before(slowHoldEnd(s, next)) && j.likelySlower() {
		return 0, "the answers so far are slower than those of the old version, and more are needed to tell: " + j.describeStrongest()
	}
	if need, have := j.neededAnswers(); have < need {
		return 0, fmt.Sprintf("%d of %d needed answers of %s were judged, %.0f came in this stage", have, need, j.move.To, j.stageAnswers)
	}
	if route := j.undersampledRoute(plan[next].share); route != "" && now.Before(j.evidenceWaitEnd(s, next)) {
		return 0, fmt.Sprintf("route %s has fewer than %d judged answers of %s", route, minRouteAnswers, j.move.To)
	}
	share := boundShare(j.move.Share, plan[next].share, j.newLoad, j.newColdShare > 0.25)
	if j.stageAnswers == 0 {
		share = plan[next].share
	}
	if share == 0 {
		return 0, fmt.Sprintf("the endpoints of %s are at %.0f%% of what they can bear", j.move.To, j.newLoad*100)
	}
	return share, ""
}

// neededAnswers returns how many judged answers the present share needs, and has.
func (j *Judge) neededAnswers() (need, have int) {
	switch {
	case j.move.Share < smallShare:
		return 0, 0
	case j.move.Share <= smallShare:
		return minEntryAnswers, j.comparisons[0].judged
	default:
		return minStageAnswers, j.judgedInStage
	}
}

// undersampledRoute returns a route with too few judged answers for a next share above
// smallShare, or "". A route with fewer than minRouteAnswers observations is ignored.
func (j *Judge) undersampledRoute(next float64) string {
	if next <= smallShare {
		return ""
	}
	for _, rc := range j.comparisons[1:] {
		if rc.judged < minRouteAnswers && rc.observed >= minRouteAnswers {
			return rc.errors.route
		}
	}
	return ""
}

// evidenceWaitShare is the fraction of the time between due and latest start that one early
// stage may spend on rare routes or on telling a bad version from a bad endpoint.
const evidenceWaitShare = 0.25

// evidenceWaitEnd returns until when a stage waits for such evidence. Stages above the third
// planned share do not wait: there the slack is needed for bursts and cold endpoints.
func (j *Judge) evidenceWaitEnd(s schedule, next int) time.Time {
	due, latest := s.dueTime(next, j.move.Share, j.stageSince), s.latestStart(next)
	if j.move.Share > plan[2].share {
		return due
	}
	return due.Add(time.Duration(evidenceWaitShare * float64(max(0, latest.Sub(due)))))
}

// slowHoldEnd returns until when a version that is likely slower stays at smallShare. It takes
// nearly all of the slack: with the shortest later stages, an undetected slow version answers
// 4.2% of the requests up to full share, with the planned ones 15%.
func slowHoldEnd(s schedule, next int) time.Time { return s.latestStart(next).Add(-s.minStageDwell()) }

// missesDeadline reports whether the move can no longer be at full share by its deadline: the
// latest start of the next stage has passed, or the needed answers would come too late even
// at forecastSpeedup times the rate of this stage.
func (j *Judge) missesDeadline(now time.Time, s schedule, next int) bool {
	latest := s.latestStart(next)
	if !now.Before(latest) {
		return true
	}
	need, have := j.neededAnswers()
	elapsed := now.Sub(j.stageSince)
	if have >= need || now.Before(s.start.Add(s.fraction(forecastStart))) || elapsed < s.fraction(plan[1].start) {
		return false
	}
	rate := forecastSpeedup * (j.stageAnswers + 1) / elapsed.Seconds()
	return now.Add(time.Duration(float64(need-have) / rate * float64(time.Second))).After(latest)
}

// holdCause adds the endpoint or domain that alone differs to the cause of a hold.
func (j *Judge) holdCause(cause string, all, robust float64, group groupName) string {
	if all >= 1/falseAlarmRate && robust < suspicionThreshold {
		return fmt.Sprintf("%s; so far only %s differs", cause, group)
	}
	return cause
}

// describeStrongest describes the comparison with the strongest evidence.
func (j *Judge) describeStrongest() string {
	all := j.evidence(1)
	if len(all) == 0 {
		return "no answers"
	}
	return j.describeEvidence(all[0])
}

func (j *Judge) describeEvidence(e Evidence) string {
	value := func(v float64) string { return fmt.Sprintf("%.0f ms", v*1000) }
	what := string(e.Measure)
	if e.Measure == MeasureErrors {
		value = func(v float64) string { return fmt.Sprintf("%.1f%%", v*100) }
		what = "failed answers"
	}
	if e.OldN == 0 {
		return fmt.Sprintf("%s on %s: %s of %d answers of %s", what, routeLabel(e.Route), value(e.New), e.NewN, j.move.To)
	}
	return fmt.Sprintf("%s on %s: %s over %d answers of %s, %s over %d of %s",
		what, routeLabel(e.Route), value(e.New), e.NewN, j.move.To, value(e.Old), e.OldN, j.move.From)
}

func routeLabel(name string) string {
	if name == AllRoutes {
		return name
	}
	return "route " + name
}

func (j *Judge) worseCause(robust float64) string {
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
		j.move.To, j.move.From, j.describeStrongest(), Odds(robust), countNoun(endpoints, "endpoint"), countNoun(domains, "failure domain"))
}

// maxOdds bounds the x in "1 in x"; the model is not exact enough to claim more.
const maxOdds = 1e9

// Odds formats the x of a chance of 1 in x, rounded down to two significant digits, with
// thousands separators and at most maxOdds.
func Odds(x float64) string {
	x = math.Floor(math.Min(x, maxOdds))
	unit := math.Pow(10, math.Max(0, math.Floor(math.Log10(x))-1))
	digits := strconv.FormatFloat(math.Floor(x/unit)*unit, 'f', 0, 64)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
