package program

import (
	"context"
	"time"

	kitlog "github.com/go-kit/log"

	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/quarantine"
)

// lossReportTimeout bounds one report of losses to control.
const lossReportTimeout = 2 * time.Second

// lossReporter takes over the parts of prompts that control holds back, and reports to control
// what this gateway sees of such parts.
type lossReporter struct {
	gateway instance.ID
	watcher *quarantine.Watcher
	report  func(ctx context.Context, in *api.ReportLosses) error
	logger  kitlog.Logger
}

// run reports until ctx ends. A report that fails is repeated with the next loss.
func (r *lossReporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.watcher.Due():
		}
		report, ok := r.watcher.TakeReport(time.Now())
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, lossReportTimeout)
		err := r.report(call, &api.ReportLosses{Gateway: r.gateway, Report: report})
		cancel()
		if n := len(report.Losses); n > 0 {
			last := report.Losses[n-1]
			_ = r.logger.Log("msg", "endpoint lost before an answer", "endpoint", last.Endpoint.ID, "parts", quarantine.Join(last.Parts), "losses", n, "err", err)
		}
	}
}

// publish takes over the parts that a directory holds back.
func (r *lossReporter) publish(d *api.Directory) { r.watcher.Publish(d.Quarantined, time.Now()) }
