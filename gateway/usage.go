package gateway

import (
	"toucantiller.dev/contract"
	"toucantiller.dev/uptime"
)

// Usage counts the requests of each client account that begin to run. Begin is on the path of each
// request.
type Usage interface {
	Begin(account string, at uptime.Instant)
}

// recordBegun counts the run of this attempt once, unless the request has no account.
func (a *attempt) recordBegun() {
	if a.begun || a.gateway.opt.Usage == nil || a.call.account == anonymousAccount {
		return
	}
	a.begun = true
	a.gateway.opt.Usage.Begin(a.call.account.Name, uptime.Now())
	a.gateway.metrics.usageCounted.increment()
}

// recordStarted counts the run when the endpoint's answer has started. A model endpoint may start
// an answer while the request waits for its first token.
func (a *attempt) recordStarted() {
	if a.call.service.Kind != contract.KindModel {
		a.recordBegun()
	}
}
