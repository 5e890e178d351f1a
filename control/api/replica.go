package api

// JoinReplica is "Control.JoinReplica": a replica without a log asks to be added.
type JoinReplica struct {
	// Address is the link address of the replica.
	Address string
	// Founding is set while the deployment starts for the first time: the replica is added to
	// the group. Otherwise it replaces one that was lost.
	Founding bool
}

// JoinReply answers a JoinReplica.
type JoinReply struct{ Leader string }

// Leadership names the leader. It answers "Control.Leader", and the leader sends it by
// "Control.Announce" to processes without a log that its settings list as control replicas.
type Leadership struct {
	// Leader is the link address of the leader, empty if none is known.
	Leader string
	// Replicas are the link addresses of the control replicas.
	Replicas []string
}
