package control

import (
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/uptime"
)

// ReportUsage takes over what a gateway has counted and tells it the agreed time.
func (v *service) ReportUsage(in *api.ReportUsage, out *api.UsageReply) error {
	at, wall := uptime.Now(), time.Now()
	if err := v.s.checkServing(); err != nil {
		out.Leader, err = redirect(err)
		return err
	}
	v.s.mu.Lock()
	collector := v.s.usage
	v.s.mu.Unlock()
	var next int64
	v.s.machine.read(func(st *state.State) { next = st.NextUsageWindow() })
	out.Reply = collector.Report(&in.Report, at, wall, next)
	return nil
}
