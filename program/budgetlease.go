package program

import (
	"fmt"
	"time"

	"toucantiller.dev/lease"
)

// BudgetSettings are the settings of leases on accounts' token limits. Gateways and control take the
// same.
type BudgetSettings struct {
	BudgetLease      time.Duration `help:"Time for which gateways get shares of the accounts' token limits on lease, to spend without control; 0 for none." env:"TOUCAN_BUDGET_LEASE"`
	ToleratedDomains int           `help:"Failure domains that the deployment may lose at once with control in quorum. Where control outlives any, token limits are not leased." env:"TOUCAN_TOLERATED_DOMAINS" default:"0"`
}

// minBudgetLease leaves time to renew a lease.
const minBudgetLease = 2 * time.Second

// Check checks the settings: a lease must not outlive the registration of its holder.
func (s *BudgetSettings) Check() error {
	if d := s.BudgetLease; d != 0 && (d < minBudgetLease || d > lease.TTL) {
		return &SettingError{Flag: "budget-lease", Err: fmt.Errorf("%s is neither 0 nor between %s and %s", d, minBudgetLease, lease.TTL)}
	}
	if s.ToleratedDomains < 0 {
		return &SettingError{Flag: "tolerated-domains", Err: fmt.Errorf("%d is below 0", s.ToleratedDomains)}
	}
	return nil
}

// leaseDuration returns the duration of leases, 0 for none.
func (s *BudgetSettings) leaseDuration() time.Duration {
	if s.ToleratedDomains > 0 {
		return 0
	}
	return s.BudgetLease
}
