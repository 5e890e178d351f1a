package gateway

import (
	"cmp"

	"toucantiller.dev/account"
)

// shareWeight returns an account's weight where accounts share a service: the weight that is set
// for it, its token limit, or that of the mean account.
func shareWeight(a *account.Account, meanLimit float64) float64 {
	return cmp.Or(a.Weight, a.TokensPerSecond, meanLimit, 1)
}

// meanTokenLimit returns the mean of the token limits, 0 if no account has one.
func meanTokenLimit(accounts []*account.Account) float64 {
	sum, limited := 0.0, 0
	for _, a := range accounts {
		if a.TokensPerSecond > 0 {
			sum += a.TokensPerSecond
			limited++
		}
	}
	if limited == 0 {
		return 0
	}
	return sum / float64(limited)
}
