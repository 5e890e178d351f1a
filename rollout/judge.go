package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Judge holds the evidence of one move. The evidence is not replicated: a new leader starts
// with an empty Judge and takes stage and share from the committed move. It is not safe for
// concurrent use.
type Judge struct {
	move       Move
	stageSince time.Time
	groups     map[groupName]int
	isDomain   []bool
	// answered counts the new version's answers per group.
	answered []int
	// slowdowns holds the mean residual of each of the new version's latencies per group.
	slowdowns   [][len(latencyMeasures)]effect
	comparisons []*routeComparison // comparisons[0] covers all routes
	routes      map[string]int
	models      map[string]*routeModel
	random      *rand.Rand
	stakedSlots int

	judgedInStage int
	newLoad       float64
	stageAnswers  float64
	newColdShare  float64
	newAnswers    int
}

// routeModel predicts latencies and failures of the old version on a route.
type routeModel struct {
	latencies [2]latencyModel
	failures  failureRate
}

// NewJudge returns a Judge without evidence. The seed determines how answers within a window
// are shuffled: the same seed and input give the same decisions.
func NewJudge(seed uint64) *Judge {
	return &Judge{
		groups:      make(map[groupName]int),
		routes:      make(map[string]int),
		models:      make(map[string]*routeModel),
		comparisons: []*routeComparison{newRouteComparison(AllRoutes, pooledWeight)},
		random:      rand.New(rand.NewPCG(seed, 0x726f6c6c6f7574)),
	}
}

// Observe adds the observations made since the last call and ignores those of versions that
// are not part of the move.
func (j *Judge) Observe(now time.Time, move Move, observations []Observation) {
	j.updateMove(now, move)
	size := windowSize(move.Share)
	for i := range observations {
		o := &observations[i]
		if o.Version == move.From || o.Version == move.To {
			j.addObservation(now, o, size)
		}
	}
	for _, rc := range j.comparisons {
		j.closeAgedWindows(rc, now)
	}
	j.stakeCapital(now)
}

// closeAgedWindows closes the windows of a comparison that have reached the age limit. The
// windows of single domains come first, as closing one may move its answers to the window
// over all domains.
func (j *Judge) closeAgedWindows(rc *routeComparison, now time.Time) {
	limit := j.windowAge()
	for domain := range len(j.isDomain) {
		w := rc.windows[domain]
		if w == nil || !w.olderThan(now, limit) {
			continue
		}
		j.closeWindow(rc, w, now)
	}
	if w := rc.windows[allDomains]; w != nil && w.olderThan(now, limit) && len(w.answers) >= minAgedWindowSize {
		j.closeWindow(rc, w, now)
	}
}

// windowAge returns the age at which windows close, short enough for several windows in each
// stage of a short move.
func (j *Judge) windowAge() time.Duration {
	s := scheduleOf(j.move)
	if j.move.Watching {
		return minWindowAge
	}
	next := min(s.nextStage(j.move.Share), len(plan)-1)
	age := time.Duration(windowAgeFraction * float64(s.dueTime(next, j.move.Share, j.stageSince).Sub(j.stageSince)))
	return min(maxWindowAge, max(minWindowAge, age))
}

// updateMove stores the committed move. A change of stage or share empties the windows, as
// all answers in a window must have been assigned with the same share.
func (j *Judge) updateMove(now time.Time, move Move) {
	if !j.stageSince.IsZero() && move.Stage == j.move.Stage && move.Share == j.move.Share {
		j.move = move
		return
	}
	j.move = move
	j.stageSince = move.StageSince
	if j.stageSince.IsZero() {
		j.stageSince = now
	}
	j.judgedInStage, j.stageAnswers = 0, 0
	for _, rc := range j.comparisons {
		for _, w := range rc.windows {
			w.answers = w.answers[:0]
		}
	}
}

// stakeCapital stakes the reserved capital in equal parts over the move and its watch.
func (j *Judge) stakeCapital(now time.Time) {
	length := j.move.Deadline.Sub(j.move.Started) + j.watchLength()
	slot := int(float64(now.Sub(j.move.Started)) / float64(max(1, length)) * stakeSlots)
	for ; j.stakedSlots < min(slot, stakeSlots); j.stakedSlots++ {
		for _, rc := range j.comparisons {
			for _, c := range rc.components() {
				c.stake((1 - initialStake) / stakeSlots)
			}
		}
	}
}

func (j *Judge) watchLength() time.Duration {
	if j.move.Watch > 0 {
		return j.move.Watch
	}
	return DefaultWatch(j.move.Deadline.Sub(j.move.Started))
}

func (j *Judge) addObservation(now time.Time, o *Observation, size int) {
	a := j.toAnswer(o)
	index, ok := j.routes[o.Route]
	if !ok {
		index = len(j.comparisons)
		j.routes[o.Route] = index
		j.comparisons = append(j.comparisons, newRouteComparison(o.Route, routeWeight(index-1)))
	}
	for _, rc := range [2]*routeComparison{j.comparisons[0], j.comparisons[index]} {
		rc.observed++
		own, rest := rc.addAnswer(&a, now)
		for _, w := range [2]*window{own, rest} {
			if w != nil && len(w.answers) >= size {
				j.closeWindow(rc, w, now)
			}
		}
	}
}

// toAnswer converts an observation into an answer, corrected for size, load and failure
// domain. Observations of the old version also train the models.
func (j *Judge) toAnswer(o *Observation) answer {
	model := j.models[o.Route]
	if model == nil {
		model = &routeModel{}
		j.models[o.Route] = model
	}
	a := answer{isNew: o.Version == j.move.To, failed: o.Failed, domain: j.groupIndex(groupName{true, o.Domain})}
	a.endpoint = -1
	if a.isNew {
		a.endpoint = j.groupIndex(groupName{false, o.Endpoint})
		j.answered[a.endpoint]++
		j.answered[a.domain]++
		j.recordNewAnswer(o)
	} else {
		model.failures.learn(o)
	}
	rate, known := model.failures.around(o.Load)
	a.toleratedErrors = rate
	// An endpoint must not fail at a load up to its limit, so failures there count whether or
	// not the old version was observed at such a load.
	a.loadUnseen = !known && o.Load > loadTarget
	for i, d := range [2]time.Duration{o.FirstToken, o.BetweenTokens} {
		a.residuals[i] = math.NaN()
		if d <= 0 || o.Failed || o.Cold {
			continue
		}
		a.seconds[i] = d.Seconds()
		if v, ok := model.latencies[i].residual(o, a.seconds[i]); ok {
			a.residuals[i] = v
			j.learnSlowdown(&a, i, v)
		}
		if !a.isNew {
			model.latencies[i].learn(o, a.seconds[i])
		}
	}
	return a
}

// learnSlowdown adds a residual of a new answer to the means of its endpoint and domain.
func (j *Judge) learnSlowdown(a *answer, measure int, residual float64) {
	if a.isNew {
		j.slowdowns[a.endpoint][measure].learn(residual)
		j.slowdowns[a.domain][measure].learn(residual)
	}
}

func (j *Judge) recordNewAnswer(o *Observation) {
	j.newAnswers++
	j.stageAnswers++
	rate := 1 / math.Min(j.stageAnswers, 40)
	j.newLoad += (o.Load - j.newLoad) * rate
	j.newColdShare += (indicator(o.Cold) - j.newColdShare) * rate
}

// groupName names an endpoint or a failure domain.
type groupName struct {
	isDomain bool
	name     string
}

func (n groupName) String() string {
	if n.isDomain {
		return "failure domain " + n.name
	}
	return "endpoint " + n.name
}

func (j *Judge) groupIndex(name groupName) int {
	g, ok := j.groups[name]
	if !ok {
		g = len(j.isDomain)
		j.groups[name] = g
		j.isDomain = append(j.isDomain, name.isDomain)
		j.answered = append(j.answered, 0)
		j.slowdowns = append(j.slowdowns, [len(latencyMeasures)]effect{})
	}
	return g
}

// closeWindow compares the answers of a window and empties it. A window with too few old
// answers is not compared yet: a domain's new answers move to the window over all domains,
// and that window stays open up to maxWindowSize.
func (j *Judge) closeWindow(rc *routeComparison, w *window, now time.Time) {
	old := w.countOld()
	if old < minOldAnswers && j.move.Share < pastOnlyShare {
		if w != rc.windows[allDomains] {
			rc.moveToAllDomains(w, now)
			return
		}
		if len(w.answers) < maxWindowSize {
			return // more answers may bring enough old ones
		}
	}
	before := rc.judged
	for _, c := range rc.components() {
		c.addGroups(len(j.isDomain))
	}
	if old >= minOldAnswers {
		j.random.Shuffle(len(w.answers), func(a, b int) { w.answers[a], w.answers[b] = w.answers[b], w.answers[a] })
		rc.compareWindow(w.answers)
	} else {
		rc.compareWithPast(w.answers)
	}
	if rc == j.comparisons[0] {
		j.judgedInStage += rc.judged - before
	}
	w.answers = w.answers[:0]
	w.since = now
}

// totalWealth returns the wealth of the whole test: over all answers, and without the one
// endpoint or failure domain of the new version whose omission lowers it most, which is
// returned as group. A group is omitted only where hasPeers holds.
func (j *Judge) totalWealth() (all, robust float64, group groupName) {
	for _, rc := range j.comparisons {
		for _, c := range rc.components() {
			all += c.wealth()
		}
	}
	robust = all
	for name, g := range j.groups {
		if !j.hasPeers(g) {
			continue
		}
		without := 0.0
		for _, rc := range j.comparisons {
			for _, c := range rc.components() {
				without += c.wealthWithout(g)
			}
		}
		if without < robust || without == robust && group.name != "" && name.String() < group.String() {
			robust, group = without, name
		}
	}
	return all, robust, group
}

// minPeerShare is the fraction of the new version's answers that must remain when a group is
// left out: with less, the rest could not show that a version is bad.
const minPeerShare = 0.2

// minAnswersForPeerCheck is the number of answers of the new version from which minPeerShare
// applies: the first few often come from one endpoint of several.
const minAnswersForPeerCheck = 16

// hasPeers reports whether enough answers of the new version came from other groups of the
// same kind, or whether it is too early to tell.
func (j *Judge) hasPeers(g int) bool {
	n := j.answered[g]
	return n > 0 && (j.newAnswers < minAnswersForPeerCheck || float64(j.newAnswers-n) >= minPeerShare*float64(j.newAnswers))
}

// evidence returns at most limit comparisons, the strongest against the new version first.
func (j *Judge) evidence(limit int) []Evidence {
	var out []Evidence
	for _, rc := range j.comparisons {
		for _, c := range rc.components() {
			e := Evidence{Route: c.route, Measure: c.measure, LogEvidence: math.Log(c.wealth() / c.weight)}
			e.Old, e.OldN = c.old.mean()
			e.New, e.NewN = c.new.mean()
			if e.NewN > 0 {
				out = append(out, e)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Evidence) int {
		switch {
		case a.LogEvidence > b.LogEvidence:
			return -1
		case a.LogEvidence < b.LogEvidence:
			return 1
		}
		return 0
	})
	return out[:min(limit, len(out))]
}
