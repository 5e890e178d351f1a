package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Judge holds the evidence of one move. It is built from nothing by a new leader: the
// evidence starts anew, and stage and share come from the committed move. It is not safe
// for concurrent use.
type Judge struct {
	move     Move
	since    time.Time
	groups   map[groupName]int
	isDomain []bool
	// answered counts the new version's answers by group.
	answered []int
	// slowed is the mean residual of the new version's times by group.
	slowed [][len(timeMeasures)]effect
	lines  []*line // lines[0] is all routes
	routes map[string]int
	models map[string]*routeModel
	random *rand.Rand
	staked int

	stageJudged int
	load        float64
	loadN       float64
	cold        float64
	newSeen     int
}

// routeModel is what is known of the old version on a route.
type routeModel struct {
	times    [2]correction
	failures failureRate
}

// NewJudge returns a judge without evidence. The seed orders answers within a window; a
// fixed one gives the same decisions for the same input.
func NewJudge(seed uint64) *Judge {
	return &Judge{
		groups: make(map[groupName]int),
		routes: make(map[string]int),
		models: make(map[string]*routeModel),
		lines:  []*line{newLine(AllRoutes, pooledWeight)},
		random: rand.New(rand.NewPCG(seed, 0x726f6c6c6f7574)),
	}
}

// Observe adds observations made since the last call. Those of other versions are ignored.
func (j *Judge) Observe(now time.Time, move Move, observations []Observation) {
	j.follow(now, move)
	size := windowSize(move.Share)
	for i := range observations {
		o := &observations[i]
		if o.Version == move.From || o.Version == move.To {
			j.add(now, o, size)
		}
	}
	for _, l := range j.lines {
		j.age(l, now)
	}
	j.stake(now)
}

// age closes the windows of a line that are old. The domains come first, as they may hand
// answers to the window over all domains.
func (j *Judge) age(l *line, now time.Time) {
	limit := j.windowAge()
	for domain := range len(j.isDomain) {
		w := l.windows[domain]
		if w == nil || !w.aged(now, limit) {
			continue
		}
		j.close(l, w, now)
	}
	if w := l.windows[anyDomain]; w != nil && w.aged(now, limit) && len(w.answers) >= minAgedSize {
		j.close(l, w, now)
	}
}

// windowAge bounds the age of windows, so that short moves have several in each stage.
func (j *Judge) windowAge() time.Duration {
	s := scheduleOf(j.move)
	if j.move.Watching {
		return minWindowAge
	}
	next := min(s.next(j.move.Share), len(plan)-1)
	part := time.Duration(agePart * float64(s.due(next, j.move.Share, j.since).Sub(j.since)))
	return min(maxWindowAge, max(minWindowAge, part))
}

// follow notes a change of stage. The windows start anew, as the shares within one must
// be the same for all its answers.
func (j *Judge) follow(now time.Time, move Move) {
	if !j.since.IsZero() && move.Stage == j.move.Stage && move.Share == j.move.Share {
		j.move = move
		return
	}
	j.move = move
	j.since = move.StageSince
	if j.since.IsZero() {
		j.since = now
	}
	j.stageJudged, j.loadN = 0, 0
	for _, l := range j.lines {
		for _, w := range l.windows {
			w.answers = w.answers[:0]
		}
	}
}

// stake puts capital into play in equal parts over the move and its watch.
func (j *Judge) stake(now time.Time) {
	length := j.move.Deadline.Sub(j.move.Started) + j.watch()
	slot := int(float64(now.Sub(j.move.Started)) / float64(max(1, length)) * stakeSlots)
	for ; j.staked < min(slot, stakeSlots); j.staked++ {
		for _, l := range j.lines {
			for _, c := range l.components() {
				c.stake((1 - startCapital) / stakeSlots)
			}
		}
	}
}

func (j *Judge) watch() time.Duration {
	if j.move.Watch > 0 {
		return j.move.Watch
	}
	return DefaultWatch(j.move.Deadline.Sub(j.move.Started))
}

func (j *Judge) add(now time.Time, o *Observation, size int) {
	a := j.reduce(o)
	index, ok := j.routes[o.Route]
	if !ok {
		index = len(j.lines)
		j.routes[o.Route] = index
		j.lines = append(j.lines, newLine(o.Route, routeWeight(index-1)))
	}
	for _, l := range [2]*line{j.lines[0], j.lines[index]} {
		l.observed++
		own, rest := l.put(&a, now)
		for _, w := range [2]*window{own, rest} {
			if w != nil && len(w.answers) >= size {
				j.close(l, w, now)
			}
		}
	}
}

// reduce corrects an observation for size and load, and learns from the old version.
func (j *Judge) reduce(o *Observation) answer {
	model := j.models[o.Route]
	if model == nil {
		model = &routeModel{}
		j.models[o.Route] = model
	}
	a := answer{isNew: o.Version == j.move.To, failed: o.Failed, domain: j.group(groupName{true, o.Domain})}
	a.endpoint = -1
	if a.isNew {
		a.endpoint = j.group(groupName{false, o.Endpoint})
		j.answered[a.endpoint]++
		j.answered[a.domain]++
		j.seenNew(o)
	} else {
		model.failures.learn(o)
	}
	rate, known := model.failures.at(o.Load)
	a.tolerated = rate
	// Up to its limit an endpoint must not fail, whether or not the old version was seen there.
	a.beyond = !known && o.Load > loadTarget
	for i, d := range [2]time.Duration{o.FirstToken, o.BetweenTokens} {
		a.times[i] = math.NaN()
		if d <= 0 || o.Failed || o.Cold {
			continue
		}
		a.raw[i] = d.Seconds()
		if v, ok := model.times[i].residual(o, a.raw[i]); ok {
			a.times[i] = v
			j.slow(&a, i, v)
		}
		if !a.isNew {
			model.times[i].learn(o, a.raw[i])
		}
	}
	return a
}

// slow notes how much slower than the old version the groups of a new answer are.
func (j *Judge) slow(a *answer, measure int, residual float64) {
	if a.isNew {
		j.slowed[a.endpoint][measure].learn(residual)
		j.slowed[a.domain][measure].learn(residual)
	}
}

func (j *Judge) seenNew(o *Observation) {
	j.newSeen++
	j.loadN++
	rate := 1 / math.Min(j.loadN, 40)
	j.load += (o.Load - j.load) * rate
	j.cold += (flag(o.Cold) - j.cold) * rate
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

func (j *Judge) group(name groupName) int {
	g, ok := j.groups[name]
	if !ok {
		g = len(j.isDomain)
		j.groups[name] = g
		j.isDomain = append(j.isDomain, name.isDomain)
		j.answered = append(j.answered, 0)
		j.slowed = append(j.slowed, [len(timeMeasures)]effect{})
	}
	return g
}

// close judges the answers of a window and empties it.
func (j *Judge) close(l *line, w *window, now time.Time) {
	old := w.countOld()
	if old < windowOld && j.move.Share < fullEnough {
		if w != l.windows[anyDomain] {
			l.hand(w, now)
			return
		}
		if len(w.answers) < maxWindow {
			return // more answers may bring enough old ones
		}
	}
	before := l.judged
	for _, c := range l.components() {
		c.grow(len(j.isDomain))
	}
	if old >= windowOld {
		j.random.Shuffle(len(w.answers), func(a, b int) { w.answers[a], w.answers[b] = w.answers[b], w.answers[a] })
		l.compare(w.answers)
	} else {
		l.compareWithPast(w.answers)
	}
	if l == j.lines[0] {
		j.stageJudged += l.judged - before
	}
	w.answers = w.answers[:0]
	w.since = now
}

// odds returns the wealth of the whole test: with everything, and with the endpoint or
// failure domain of the new version left out whose absence lowers it most. The group is
// left out only where others of its kind have answered.
func (j *Judge) odds() (all, robust float64, group groupName) {
	for _, l := range j.lines {
		for _, c := range l.components() {
			all += c.wealth()
		}
	}
	robust = all
	for name, g := range j.groups {
		if !j.hasPeers(g) {
			continue
		}
		without := 0.0
		for _, l := range j.lines {
			for _, c := range l.components() {
				without += c.wealthWithout(g)
			}
		}
		if without < robust || without == robust && group.name != "" && name.String() < group.String() {
			robust, group = without, name
		}
	}
	return all, robust, group
}

// leastPeers is the part of the new version's answers that must remain when a group is
// left out: with less, the rest could not show that a version is bad.
const leastPeers = 0.2

// soloAnswers is the number of answers of the new version up to which others of a group's
// kind may still answer: the first few often come from one endpoint of several.
const soloAnswers = 16

// hasPeers reports whether enough answers of the new version came from other groups of
// the kind, or still may.
func (j *Judge) hasPeers(g int) bool {
	n := j.answered[g]
	return n > 0 && (j.newSeen < soloAnswers || float64(j.newSeen-n) >= leastPeers*float64(j.newSeen))
}

// evidence lists the comparisons, the strongest against the new version first.
func (j *Judge) evidence(most int) []Evidence {
	var out []Evidence
	for _, l := range j.lines {
		for _, c := range l.components() {
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
	return out[:min(most, len(out))]
}
