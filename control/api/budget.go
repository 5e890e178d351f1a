package api

import (
	"time"

	"toucantiller.dev/budget"
	"toucantiller.dev/instance"
)

// DrawBudget is "Control.DrawBudget": a gateway draws tokens from the budget of an account.
type DrawBudget struct {
	Gateway instance.ID
	Account string
	// Want is the number of tokens asked for; a grant below Least is of no use to the gateway.
	Want, Least float64
	// Returned are tokens, drawn earlier, of requests that did not run. ReturnID identifies them, so
	// that a call that is repeated returns them once; a gateway's IDs rise.
	Returned []budget.Returned
	ReturnID uint64
}

// RenewBudget is "Control.RenewBudget": a gateway asks for a lease on shares of all accounts' limits.
type RenewBudget struct {
	budget.Renewal
	// Returned are tokens by account, and ReturnID identifies them, as in DrawBudget.
	Returned map[string][]budget.Returned
	ReturnID uint64
}

// BudgetLease answers a RenewBudget.
type BudgetLease struct {
	Leader string
	budget.Grant
}

// BudgetGrant answers a DrawBudget.
type BudgetGrant struct {
	Leader string
	Tokens float64
	// Wait is the time until a draw of Least tokens may be granted, if none were granted now.
	Wait time.Duration
}
