package replica_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/link"
	"toucantiller.dev/wal/faultfs"
)

// Runs a group of one replica on the in-memory network.
func ExampleStart() {
	network, server := link.NewMemory(), link.NewServer()
	transport, err := replica.NewLinkTransport(network, server)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer transport.Close()
	r, err := replica.Start(replica.Config{
		DataFolder: "/data", Address: "a", InitialMembers: []string{"a"},
		Transport: transport, StateMachine: &journal{}, FS: faultfs.New(1),
		TickInterval: time.Millisecond,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for {
		_, err = r.Propose(ctx, []byte("hello"))
		var notLeader *replica.NotLeaderError
		if !errors.As(err, &notLeader) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	fmt.Println(err, r.Status().IsLeader, r.Stop(ctx))
	// Output: <nil> true <nil>
}
