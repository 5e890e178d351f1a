package scenario

import (
	"fmt"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	for _, sc := range scenarios() {
		if sc.name != "stale5s" && sc.name != "prefixes" {
			continue
		}
		inner := sc.faults
		sc.faults = func(w *world, s system) {
			if inner != nil {
				inner(w, s)
			}
		}
		debugHook = func(w *world) {
			p, ok := w.system.(*product)
			if !ok {
				return
			}
			w.clock.every(4*time.Second, func() {
				fmt.Printf("%s", w.clock.now.Format("05"))
				for _, a := range p.agents {
					pf, dc := a.limiter.Rates()
					fmt.Printf(" [%d/%d %d/%d q%d run%d %v %.0f %.0f %s]", a.limiter.Limit(), a.limiter.TokenLimit(), 0, 0, a.queue.Len(), len(a.engine.running), a.limiter.Cold(), pf, dc, a.limiter.Debug())
				}
				for _, g := range p.gateways {
					fmt.Printf(" g%d", g.queue.Len())
				}
				fmt.Println()
			})
		}
		fmt.Println(sc.name)
		sc.run(1, false)
	}
}
