package consensus_test

import (
	"fmt"

	"toucantiller.dev/consensus"
)

// A driver ticks the core, carries out the batches of Ready and confirms each with Advance.
// A group of one sends no messages.
func ExampleCore() {
	core, err := consensus.New(consensus.Config{ID: 1}, consensus.Recovered{
		Snapshot: &consensus.Snapshot{
			Index: 1, Term: 1, Group: 1, Members: consensus.Membership{{ID: 1, Address: "10.0.0.1:7400"}},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	processBatches := func() {
		for r, ok := core.Ready(); ok; r, ok = core.Ready() {
			// A real driver persists r.State, r.Snapshot and r.Entries here and sends the messages.
			for _, e := range r.Committed {
				if e.Kind == consensus.EntryCommand {
					fmt.Printf("apply %d: %s\n", e.Index, e.Data)
				}
			}
			core.Advance(r)
		}
	}
	for core.Status().Role != consensus.Leader {
		core.Tick()
	}
	processBatches()
	if _, _, err := core.Propose([]byte("hello")); err != nil {
		fmt.Println(err)
		return
	}
	processBatches()
	// Output: apply 3: hello
}
