// Package rollout decides the next step of a move of traffic from one version of a service to
// another. A decision and its cause depend only on the observations, the time and the seed
// passed in: the package does no I/O, reads no clock and starts no goroutine.
package rollout

import "time"

// Observation is one answered request.
type Observation struct {
	Version  string
	Route    string
	Endpoint string
	Domain   string
	Failed   bool
	// Cold is set when the endpoint was ramping its limit.
	Cold bool
	// Load is the number of requests running at the endpoint divided by its limit, at dispatch.
	Load         float64
	PromptTokens int
	AnswerTokens int
	FirstToken   time.Duration
	// BetweenTokens is the mean time between tokens; 0 where there are no tokens.
	BetweenTokens time.Duration
}

// Move is the state of a move as it was last committed.
type Move struct {
	Service string
	From    string
	To      string
	// Stage counts the committed stages from 0; Share is the new version's share in [0,1].
	Stage int
	Share float64
	// Watching is set once the new version has all traffic.
	Watching bool
	Started  time.Time
	Deadline time.Time
	// StageSince is when the stage began; zero means that the caller does not know.
	StageSince time.Time
	// Watch is how long the old version stays warm after full share; 0 means DefaultWatch.
	Watch time.Duration
}

// Action is what to do with a move.
type Action string

// Actions.
const (
	// Hold keeps stage and share.
	Hold Action = "hold"
	// Raise commits the next stage with a higher share.
	Raise Action = "raise"
	// StartWatch commits the next stage with full share; the old version stays warm.
	StartWatch Action = "watch"
	// TakeBack gives all traffic back to the old version.
	TakeBack Action = "take back"
	// Finish ends the move; the old version may be stopped.
	Finish Action = "finish"
)

// Measure names the quantity in which the versions are compared.
type Measure string

// Measures.
const (
	MeasureErrors        Measure = "errors"
	MeasureFirstToken    Measure = "time to first token"
	MeasureBetweenTokens Measure = "time between tokens"
)

// Evidence compares the new version with the old one on one route and measure, over the
// most recent answers.
type Evidence struct {
	// Route is AllRoutes where the routes are judged together.
	Route   string
	Measure Measure
	// Old and New are shares of failed answers, or mean seconds.
	Old, New   float64
	OldN, NewN int64
	// LogEvidence is the natural logarithm of the test martingale against the new version.
	LogEvidence float64
}

// AllRoutes is the Route of evidence over all routes.
const AllRoutes = "all routes"

// Decision is the next step of a move and its cause.
type Decision struct {
	Action Action
	// Stage and Share are the move's values after the decision.
	Stage int
	Share float64
	// Cause is a one-line explanation for operators.
	Cause string
	// Evidence lists the comparisons behind a decision other than Hold, the strongest first.
	Evidence []Evidence
}
