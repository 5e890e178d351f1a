package timeline_test

import (
	"os"

	"toucantiller.dev/timeline"
)

// Merges the events of two processes. Their wall clocks agree; the logical counter puts the
// agent's event second.
func ExampleWriteText() {
	events := []timeline.Event{
		{At: timeline.Time{Wall: 1e9, Logical: 1}, Process: "agent-1", Seq: 1, Kind: "dispatch.committed", Request: "r1"},
		{At: timeline.Time{Wall: 1e9}, Process: "gateway-1", Seq: 1, Kind: "request.received", Request: "r1"},
	}
	timeline.Sort(events)
	timeline.WriteText(os.Stdout, events)
	// Output:
	// 00:00:01.000000  gateway-1  request.received         request=r1
	// 00:00:01.000000  agent-1    dispatch.committed       request=r1
}
