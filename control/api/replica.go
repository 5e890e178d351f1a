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

// MemberQuery is "Control.Member": a replica that hears from no leader asks whether it still
// belongs to its group.
type MemberQuery struct {
	// Group and ID are the identities of the group and of the replica.
	Group, ID uint64
}

// MemberReply answers a MemberQuery.
type MemberReply struct {
	Leader string
	// Group and ID repeat the query.
	Group, ID uint64
	// Removed is true if the committed membership of the group does not name the replica.
	Removed bool
}
