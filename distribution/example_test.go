package distribution_test

import (
	"fmt"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/uptime"
)

func Example() {
	h := distribution.NewHolder(nil)
	accept := func(revision uint64) {
		changed, err := h.Accept(&api.View{
			Config: &contract.Parts{Revision: revision, ServeStale: time.Minute},
			Beacon: api.Beacon{Revision: revision, Term: 1, Seq: revision, Age: 2 * time.Second},
		}, uptime.Now())
		fmt.Println("revision", revision, "accepted:", changed, err)
	}
	accept(7)
	accept(6)
	now := time.Now()
	fmt.Println("in force:", h.Revision())
	fmt.Println("unproven versions allowed:", h.UnprovenAllowed(now), h.UnprovenAllowed(now.Add(time.Second)))
	fmt.Println("may serve:", h.MayServe(now.Add(30*time.Second)), h.MayServe(now.Add(time.Minute)))
	// Output:
	// revision 7 accepted: true <nil>
	// revision 6 accepted: false <nil>
	// in force: 7
	// unproven versions allowed: true false
	// may serve: true false
}
