package api

import (
	"toucantiller.dev/instance"
	"toucantiller.dev/quarantine"
)

// ReportLosses is "Control.ReportLosses": a gateway's observations of parts of prompts under which
// endpoints end. It may be repeated.
type ReportLosses struct {
	Gateway instance.ID
	Report  quarantine.Report
}

// ReportLossesReply answers a ReportLosses.
type ReportLossesReply struct {
	Leader string
}
