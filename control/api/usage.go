package api

import "toucantiller.dev/usage"

// ReportUsage is "Control.ReportUsage": a gateway reports the requests that began to run through it.
type ReportUsage struct {
	Report usage.Report
}

// UsageReply answers a ReportUsage.
type UsageReply struct {
	Leader string
	Reply  usage.Reply
}
