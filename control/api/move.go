package api

import (
	"time"

	"toucantiller.dev/failuredomain"
)

// MoveState is the state of a move.
type MoveState string

// States of a move.
const (
	MoveRunning   MoveState = "running"
	MoveWatching  MoveState = "watching"
	MoveDone      MoveState = "done"
	MoveTakenBack MoveState = "taken back"
)

// Move is the state of one move of a service between two versions, from "Control.Moves".
type Move struct {
	// ID is the configuration revision at which the move started.
	ID      uint64
	Service string
	// From and To are versions of the service.
	From  string
	To    string
	State MoveState
	// Stage counts the raises of Share, from 0.
	Stage int
	// Share is the new version's part of the traffic, from 0 to 1.
	Share    float64
	Started  time.Time
	Deadline time.Time
	// FullAt is when the new version got all traffic; the old one stays warm for Watch after
	// that.
	FullAt time.Time
	Watch  time.Duration
	Ended  time.Time
	// StageSince is when the current stage began.
	StageSince time.Time
	// Cause gives the reason for the current state of the move in one line.
	Cause string
	// Evidence lists the comparisons on which the latest decision is based.
	Evidence []MoveEvidence
}

// MoveEvidence compares the new version with the old one on one route and measure.
type MoveEvidence struct {
	Route   string
	Domain  failuredomain.ID
	Measure string
	// Old and New are the values of the measure, from OldN and NewN answers.
	Old  float64
	New  float64
	OldN int64
	NewN int64
	// LogEvidence is the natural logarithm of the test martingale against the new version.
	LogEvidence float64
}
