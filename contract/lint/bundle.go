package lint

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"toucantiller.dev/contract"
)

// bundleCheck looks for what has no effect in a bundle. Its fields may have problems, which are
// reported elsewhere.
type bundleCheck struct {
	*contract.Bundle
	isSet func(field string) bool
	found findings
}

func (c *bundleCheck) checkAll() {
	for i := range c.Tiers {
		c.checkTier(i)
	}
	for i := range c.Accounts {
		c.checkAccount(i)
	}
	for i := range c.Services {
		c.checkService(i)
	}
}

// checkTier finds a tier that no account may use, and bounds that the timeouts of the services
// come before.
func (c *bundleCheck) checkTier(rank int) {
	field, t := fmt.Sprintf("tiers[%d]", rank), c.Tiers[rank]
	if !slices.ContainsFunc(c.Accounts, func(a contract.AccountSpec) bool { return c.rank(a.Tier) <= rank }) {
		c.found.warn(CodeUnused, field+".name", "no account may use tier %q", t.Name)
		return
	}
	longest := c.longestTimeout(t.Name)
	if longest == 0 {
		return
	}
	if queue := cmp.Or(t.MaxQueueTime, contract.DefaultMaxQueueTime); queue > longest {
		c.found.warn(CodeContradiction, field+".max_queue_time", "%s is above the longest timeout of the services that its accounts may call, %s", queue, longest)
	}
	if t.FirstToken > longest {
		c.found.warn(CodeContradiction, field+".first_token", "%s is above the longest timeout of the services that its accounts may call, %s", t.FirstToken, longest)
	}
}

// longestTimeout returns the longest timeout among the services that the accounts of a tier may call,
// 0 when there is none.
func (c *bundleCheck) longestTimeout(tier string) time.Duration {
	var longest time.Duration
	for _, s := range c.Services {
		for _, a := range c.Accounts {
			if a.Tier == tier && mayCall(a, s.Name) {
				longest = max(longest, cmp.Or(s.Timeout, contract.DefaultTimeout))
			}
		}
	}
	return longest
}

// rank returns the rank of a tier, and that of the highest for a name that is not known.
func (c *bundleCheck) rank(tier string) int {
	return max(0, slices.IndexFunc(c.Tiers, func(t contract.TierSpec) bool { return t.Name == tier }))
}

func mayCall(a contract.AccountSpec, service string) bool {
	return len(a.Services) == 0 || slices.Contains(a.Services, service)
}

func (c *bundleCheck) checkAccount(i int) {
	field, a := fmt.Sprintf("accounts[%d]", i), c.Accounts[i]
	c.checkZero(field+".weight", a.Weight == 0, "1")
	if a.Burst > 0 && a.RequestsPerSecond == 0 {
		c.found.warn(CodeNoEffect, field+".burst", "a burst without requests_per_second bounds nothing")
	}
	for n, s := range a.Services {
		if slices.Contains(a.Services[:n], s) {
			c.found.warn(CodeNoEffect, fmt.Sprintf("%s.services[%d]", field, n), "service %q is listed before", s)
		}
	}
}

// checkZero finds a 0 that is written out and stands for the default.
func (c *bundleCheck) checkZero(field string, isZero bool, standsFor string) {
	if isZero && c.isSet(field) {
		c.found.warn(CodeNoEffect, field, "0 stands for the default, %s", standsFor)
	}
}

func (c *bundleCheck) checkService(i int) {
	field, s := fmt.Sprintf("services[%d]", i), c.Services[i]
	if !slices.ContainsFunc(c.Accounts, func(a contract.AccountSpec) bool { return mayCall(a, s.Name) }) {
		c.found.warn(CodeUnreachable, field+".name", "no account may call service %q", s.Name)
	}
	c.checkZero(field+".max_body", s.MaxBody == 0, fmt.Sprint(contract.DefaultMaxBody))
	c.checkZero(field+".queue_length", s.QueueLength == 0, fmt.Sprint(contract.DefaultQueueLength))
	timeout := cmp.Or(s.Timeout, contract.DefaultTimeout)
	for n, r := range s.Routes {
		if r.ClaimTTL > 0 && r.ClaimTTL < timeout {
			c.found.warn(CodeContradiction, fmt.Sprintf("%s.routes[%d].claim_ttl", field, n), "a claim ends after %s, while its request may run for %s", r.ClaimTTL, timeout)
		}
	}
}
