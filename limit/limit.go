// Package limit adapts the concurrency limit of one endpoint, in requests and in
// tokens, from observed latencies without knowledge of its hardware. It is a pure state machine: times
// are arguments and the caller does the locking.
package limit

import (
	"math"
	"time"
)

// Defaults of Options.
const (
	DefaultMaxRequests   = 512
	DefaultMaxTokens     = 1 << 22
	DefaultInitialTokens = 8192
)

// Options bound a Limiter. Zero fields take the defaults.
type Options struct {
	// MaxRequests is the highest limit in requests.
	MaxRequests int
	// MaxTokens is the highest limit in outstanding prompt tokens.
	MaxTokens int
	// InitialTokens is the token limit of a cold endpoint and the lowest token limit.
	InitialTokens int
}

// Thresholds of the control loop. Ratios compare a call's latency with the
// latency that the learned baseline predicts for a call of its size.
const (
	// growRatio is the highest mean ratio at which the limit rises. It leaves room for
	// the slower steps of a larger batch, which still raise throughput.
	growRatio = 1.5
	// firstTokenGrowRatio is the same bound for first token times alone. It is higher because calls that
	// start together prefill together, which says little about the limit.
	firstTokenGrowRatio = 4.0
	// firstTokenReduceRatio is the mean ratio of first token times at which the limit falls, since
	// calls then wait in a queue of the engine.
	firstTokenReduceRatio = 8.0
	// reduceRatio is the ratio above which the limit falls by at most 30 %.
	reduceRatio = 2.0
	// jumpRatio is the rise over the recent ratio that counts as a sudden slowdown.
	jumpRatio = 2.0
	// coldRatio is the rise over the recent ratio after which the endpoint counts as
	// cold again and the limit falls to 1.
	coldRatio = 4.0
	// overdueFactor is the multiple of the expected first token time after which a
	// call counts as evidence before it finishes.
	overdueFactor = 4.0
	// maxOverdueSlowdown bounds the slowdown concluded from overdue calls, whose true time is not
	// known yet.
	maxOverdueSlowdown = 10.0
	// overdueSlack keeps short scheduling delays from counting as evidence.
	overdueSlack = 200 * time.Millisecond
	// overdueInterval is the time between two steps taken on overdue calls.
	overdueInterval = 500 * time.Millisecond

	// minEvidenceSpan is the least time that the ratios of short calls span before their mean
	// counts. A pause of the process or the machine delays all short calls in flight by many
	// times their length, and they would confirm each other.
	minEvidenceSpan = 20 * time.Millisecond

	// fastGain and slowGain are the gains of the fast and the slow mean of the ratios.
	fastGain = 0.35
	slowGain = 0.05
	// jumpConfirmations of the last recentCalls must confirm a jump. The others may be calls
	// that were nearly done when it began.
	jumpConfirmations = 3
	recentCalls       = 5
	// coldFailures is the number of failures in a row that mark the endpoint cold.
	coldFailures = 3
	// failureShare is the smoothed share of failures that halves the limit.
	failureShare = 0.3
	failureGain  = 0.15
	// coldGrowth and warmGrowth are the relative rises after a growth window.
	coldGrowth = 0.5
	warmGrowth = 0.25
	// firstTokenReduction is the relative fall of the limit when first tokens take too long.
	firstTokenReduction = 0.125
	// minWindowSuccesses is the least number of successes that end a growth window; larger
	// limits need one success per slot.
	minWindowSuccesses = 2
	// minColdStepInterval is the least time between two rises while cold. Short calls would
	// otherwise end a growth window before the engine's load shows in their latency.
	minColdStepInterval = 200 * time.Millisecond
	// firstTokenWeight weighs first token times as a sign of overload. They vary more than
	// the time of a whole call, since the prefills of concurrent calls overlap.
	firstTokenWeight = 0.5
	// warmLimit is the limit at which a ramp counts as finished even though the
	// endpoint's capacity has not been reached.
	warmLimit = 16
	// minUtilization is the mean share of a limit that must be in use for it to rise. Peaks
	// alone would raise it far above the load, and a burst would then fill the endpoint
	// with calls that slow each other down.
	minUtilization = 0.75
	// idleAnswerShare and fullAnswer are the shares of the expected answer that must fit
	// before the deadline on an idle and on a full endpoint. Sizes are uncertain.
	idleAnswerShare = 0.5
	fullAnswerShare = 1.25
	// warmingRatio is the fall of the fast ratio against the slow one that shows an
	// endpoint still getting faster; its limit does not rise meanwhile.
	warmingRatio = 0.85
)

// Limiter adapts the concurrency limit of one endpoint. It is not safe for
// concurrent use.
type Limiter struct {
	opt Options
	// declared is the limit that the endpoint declares, 0 if it declares none.
	declared int
	limit    float64
	tokens   float64
	cold     bool

	calls       calls
	firstModel  latencyModel
	decodeModel latencyModel

	// fast and slow are means of the ratio over a few and over many calls.
	fast, slow float64
	// recent holds the last ratios since the last step, reference the slow mean before
	// the latest one.
	recent              [recentCalls]float64
	reference           float64
	sinceStep           int
	steppedAt           time.Time
	overdueStepAt       time.Time
	failedShare         float64
	consecutiveFailures int
	longestCall         time.Duration
	// shortCalls holds the ratios of short calls until they span minEvidenceSpan.
	shortCalls ratioSum
	// progressAt is when an answer last began or ended; calls without a first token that
	// started later may mean that the endpoint has stopped.
	progressAt time.Time

	window growthWindow
}

// growthWindow collects the successes of calls that started at the present limit, from which
// the next rise is decided.
type growthWindow struct {
	successes int
	ratios    float64
	firsts    float64
	// open is the sum of the outstanding calls at each success.
	open       int
	peakTokens int
	since      time.Time
}

// New returns the limiter of a new or restarted endpoint: limit 1, cold.
func New(opt Options) *Limiter {
	if opt.MaxRequests <= 0 {
		opt.MaxRequests = DefaultMaxRequests
	}
	if opt.MaxTokens <= 0 {
		opt.MaxTokens = DefaultMaxTokens
	}
	if opt.InitialTokens <= 0 {
		opt.InitialTokens = DefaultInitialTokens
	}
	opt.InitialTokens = min(opt.InitialTokens, opt.MaxTokens)
	return &Limiter{opt: opt, limit: 1, tokens: float64(opt.InitialTokens), cold: true}
}

// Limit is the number of requests the endpoint can run at once; at least 1.
func (l *Limiter) Limit() int {
	if l.declared > 0 {
		return l.declared
	}
	return int(l.limit)
}

// TokenLimit is the number of outstanding prompt tokens the endpoint can hold.
func (l *Limiter) TokenLimit() int { return int(l.tokens) }

// Cold reports whether the limit is still ramping up from 1.
func (l *Limiter) Cold() bool { return l.cold && l.declared == 0 }

// Rates returns the learned speeds in tokens per second; 0 means not known. They
// are those of the endpoint with few calls. A rate learned under load would keep
// work away from an endpoint that has since become idle, and without work it would
// never be corrected.
func (l *Limiter) Rates() (prefill, decode float64) {
	return l.firstModel.rate(), l.decodeModel.rate()
}

// SpeedAge is the time since an answer last began or ended, 0 before the first.
func (l *Limiter) SpeedAge(now time.Time) time.Duration {
	if l.progressAt.IsZero() {
		return 0
	}
	return now.Sub(l.progressAt)
}

// RequiredTime is the time that must be left before the deadline of a call that starts
// behind waiting others; 0 without learned speeds. On an idle endpoint half of the
// expected answer must fit: a call that may finish in time displaces no other.
// On a full one, where a late call costs its prefill and the slot of another, more than
// the expected answer must fit at the pace of the recent calls. For an idle endpoint
// the full learned speed is always used, since one that refuses every call would never show that it is
// fast again.
func (l *Limiter) RequiredTime(promptTokens, answerTokens, waiting int) time.Duration {
	prefill, decode := l.Rates()
	used := math.Min(1, float64(l.calls.open+waiting)/float64(l.Limit()))
	seconds := 0.0
	if prefill > 0 {
		seconds += float64(promptTokens) / prefill
	}
	if decode > 0 {
		share := idleAnswerShare + (fullAnswerShare-idleAnswerShare)*used
		// Above reduceRatio the limit falls, and with it the slowdown.
		slowdown := 1 + used*(math.Min(math.Max(1, l.slow), reduceRatio)-1)
		seconds += share * slowdown * float64(answerTokens) / decode
	}
	return time.Duration(seconds * float64(time.Second))
}

// Outstanding returns the calls started and not finished and their prompt tokens.
func (l *Limiter) Outstanding() (requests, promptTokens int) {
	return l.calls.open, l.calls.tokens
}

// Allows reports whether a call of this size may start now. A call larger than
// the token limit may start when nothing else runs, since it could never start
// otherwise.
func (l *Limiter) Allows(promptTokens int) bool {
	if l.calls.open == 0 {
		return true
	}
	if l.calls.open >= l.Limit() {
		return false
	}
	return l.calls.tokens+promptTokens <= l.TokenLimit()
}

// Ticket is one started call.
type Ticket struct {
	slot  int
	gen   uint64
	start time.Time
	level loadLevel
}

// Start records that a call was given to the endpoint.
func (l *Limiter) Start(now time.Time, promptTokens int) Ticket {
	l.calls.addConcurrentPrefill(now, promptTokens, &l.firstModel)
	t := l.calls.add(now, promptTokens)
	t.level = l.currentLevel()
	l.window.peakTokens = max(l.window.peakTokens, l.calls.tokens)
	return t
}

// lightShare is the share of the limit up to which calls hardly slow each other.
const lightShare = 0.25

// currentLevel returns the load level that decides a call's weight in the baseline. Where the
// limit is declared, the learned speeds include the endpoint's load, so all calls weigh the same.
func (l *Limiter) currentLevel() loadLevel {
	switch {
	case l.declared > 0:
		return levelLight
	case l.calls.open <= 1:
		return levelAlone
	case float64(l.calls.open) <= lightShare*l.limit:
		return levelLight
	}
	return levelBusy
}

// FirstToken records that the answer of a call has begun, so that the call no
// longer counts as overdue. Calling it is optional.
func (l *Limiter) FirstToken(t Ticket, now time.Time) {
	c := l.calls.get(t)
	if !l.calls.begin(t) {
		return
	}
	l.progressAt = now
	if !l.firstModel.ready() {
		return
	}
	expected := l.firstModel.predict(float64(c.prompt + c.concurrentPrefill))
	ratio := firstTokenWeight * now.Sub(t.start).Seconds() / expected
	if ratio > reduceRatio {
		l.reduceOnSlowdown(ratio, expected, t, now)
	}
}

// Sample is the outcome of a call. Failed calls need no other field.
type Sample struct {
	FirstToken, Total time.Duration
	PromptTokens      int
	AnswerTokens      int
	// Failed is set when the endpoint failed; a caller that gave up is not a failure.
	Failed bool
}

// Finish records the outcome of a call. A ticket counts once.
func (l *Limiter) Finish(t Ticket, s Sample, now time.Time) {
	c := l.calls.get(t)
	if c == nil {
		return
	}
	beside := c.concurrentPrefill
	l.calls.remove(t)
	if s.Failed {
		l.recordFailure(t, now)
		return
	}
	l.progressAt = now
	l.consecutiveFailures = 0
	l.failedShare *= 1 - failureGain
	l.longestCall = max(s.Total, l.longestCall-l.longestCall/64)
	r := l.learn(t, s, beside)
	l.reduceOnSlowdown(r.overload, r.expected, t, now)
	l.recordSuccess(r, t, now)
}

// Cancel records a call that was stopped before its end, such as one whose caller
// left. s holds what was seen until then: FirstToken is 0 when there was none. A
// call that had run for far longer than expected counts against the limit, since
// callers give up on a slow endpoint and its calls might never finish.
func (l *Limiter) Cancel(t Ticket, s Sample, now time.Time) {
	c := l.calls.get(t)
	if c == nil || !l.firstModel.ready() {
		l.calls.remove(t)
		return
	}
	expected := l.expectedFirstToken(c)
	l.calls.remove(t)
	ratio := firstTokenWeight * s.Total.Seconds() / expected
	if s.FirstToken > 0 {
		decodeTime := (s.Total - s.FirstToken).Seconds()
		if s.AnswerTokens < 2 || !l.decodeModel.ready() {
			return
		}
		expected, ratio = l.decodeModel.learn(float64(s.AnswerTokens), decodeTime, t.level)
	}
	if ratio > reduceRatio {
		l.reduceOnSlowdown(ratio, expected, t, now)
	}
}

// SetDeclaredLimit sets the limit in requests to the endpoint's declared concurrency. 0 leaves the
// limit to adapt. Baseline and rates are still learned.
func (l *Limiter) SetDeclaredLimit(slots int) {
	l.declared = slots
	if slots > 0 {
		l.cold = false
	}
}

// Restart discards what was learned: limit 1, cold, no rates. Use it when the engine
// is known to have restarted.
func (l *Limiter) Restart() {
	open, declared := l.calls, l.declared
	*l = *New(l.opt)
	l.calls, l.declared = open, declared
}

// LowerOnOverdue lowers the limit when calls that have not finished are far over their
// expected time. It reports whether it did.
func (l *Limiter) LowerOnOverdue(now time.Time) bool {
	if now.Sub(l.overdueStepAt) < overdueInterval || !l.firstModel.ready() {
		return false
	}
	w := l.summarizeOverdue(now)
	silent := w.overdue == w.open && w.latestStart.After(l.progressAt)
	if w.overdue == 0 || (!silent && w.overdue < max(jumpConfirmations, w.open/2)) {
		return false
	}
	l.overdueStepAt = now
	if l.limit <= 1 {
		return false
	}
	if w.worstRatio >= 2*overdueFactor || silent {
		l.resetToCold(math.Min(math.Max(w.worstRatio, 1), maxOverdueSlowdown), now)
		return true
	}
	l.reduceLimit(0.5, now)
	return true
}

// overdueSummary sums up the calls without a first token.
type overdueSummary struct {
	open, overdue int
	// worstRatio is the highest ratio of elapsed to expected time of the overdue calls.
	// latestStart is the start of the latest of them.
	worstRatio  float64
	latestStart time.Time
}

func (l *Limiter) summarizeOverdue(now time.Time) overdueSummary {
	var w overdueSummary
	typical := math.Max(1, l.slow)
	for i := range l.calls.slots {
		c := &l.calls.slots[i]
		if !c.used || c.begun {
			continue
		}
		w.open++
		expected := l.expectedFirstToken(c) * typical
		elapsed := (now.Sub(c.start) - overdueSlack).Seconds()
		if elapsed < overdueFactor*expected {
			continue
		}
		w.overdue++
		w.worstRatio = math.Max(w.worstRatio, elapsed/expected)
		if c.start.After(w.latestStart) {
			w.latestStart = c.start
		}
	}
	return w
}

// expectedFirstToken is the time to first token of a call with the other prefills, in
// seconds. Without reports of first tokens, a call may be in its decode, so the
// longest recent call bounds it.
func (l *Limiter) expectedFirstToken(c *call) float64 {
	if l.calls.reportsFirst {
		return l.firstModel.predict(float64(max(c.prompt, l.calls.prefilling)))
	}
	return math.Max(l.firstModel.predict(float64(c.prompt)), l.longestCall.Seconds())
}

// ratios compare one call with the baseline of an idle endpoint.
type ratios struct {
	// overload is the sign of overload: the time of the whole call or its first token
	// time, both corrected for concurrent prefills.
	overload float64
	// firstToken is the first token time without that correction.
	firstToken float64
	// expected is the time of the whole call by the baseline, in seconds.
	expected float64
}

// learn updates the baseline and the rates and returns the call's ratios.
func (l *Limiter) learn(t Ticket, s Sample, beside int) ratios {
	prompt := float64(max(s.PromptTokens, 1))
	answer := float64(s.AnswerTokens)
	firstTime := s.FirstToken.Seconds()
	decodeTime := (s.Total - s.FirstToken).Seconds()
	expected := l.firstModel.predict(prompt + float64(beside))
	if !l.firstModel.known {
		expected = firstTime
	}
	corrected := firstTime / expected
	_, first := l.firstModel.learn(prompt, firstTime, t.level)
	if answer <= 1 || decodeTime <= 0 {
		return ratios{overload: first, firstToken: first, expected: expected}
	}
	expectedDecode, _ := l.decodeModel.learn(answer, decodeTime, t.level)
	whole := s.Total.Seconds() / (expected + expectedDecode)
	return ratios{overload: math.Max(whole, firstTokenWeight*corrected), firstToken: first, expected: expected + expectedDecode}
}
