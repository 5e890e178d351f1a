package consensus

// MessageType identifies a request or reply between replicas.
type MessageType uint8

// Types of messages.
const (
	// MsgPreVote asks whether the sender could win an election in Term.
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	// MsgVote asks for the vote in Term. Index and LogTerm are the sender's last entry.
	MsgVote
	MsgVoteReply
	// MsgAppend carries Entries that follow the entry (Index, LogTerm).
	MsgAppend
	// MsgAppendReply acknowledges the log up to Index, or rejects the entry at Index.
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	// MsgSnapshot carries a piece of a snapshot.
	MsgSnapshot
	// MsgSnapshotReply names in Hint the offset of the next piece.
	MsgSnapshotReply
	// MsgTimeoutNow tells the receiver to start an election at once.
	MsgTimeoutNow
)

// Message is what replicas exchange. Messages may be lost, duplicated and reordered.
type Message struct {
	Type  MessageType
	From  ID
	To    ID
	Group GroupID
	Term  uint64
	// Index and LogTerm identify a log entry; the message type says which one.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	// Round numbers the heartbeats of a leader for linearizable reads.
	Round  uint64
	Reject bool
	// Transfer marks a vote request of an election that the leader asked for. Receivers
	// consider it even though they still hear from that leader.
	Transfer bool
	// Hint and HintTerm are the index and term of the last entry in a rejecting follower's
	// log that may match the leader's. In MsgSnapshotReply, Hint is a byte offset.
	Hint     uint64
	HintTerm uint64
	Entries  []Entry
	Piece    *Piece
}

// Piece is one chunk of a snapshot. Index and Term are those of the snapshot; Offset and
// Total are in bytes.
type Piece struct {
	Index    uint64
	Term     uint64
	Members  Membership
	Founding Membership
	Offset   uint64
	Total    uint64
	// Checksum is the CRC-32C of the whole data.
	Checksum uint32
	Data     []byte
}

// fromLeader reports whether only a leader sends the message.
func (m *Message) fromLeader() bool {
	return m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot
}

// toLeader reports whether the message answers a leader.
func (m *Message) toLeader() bool {
	return m.Type == MsgAppendReply || m.Type == MsgHeartbeatReply || m.Type == MsgSnapshotReply
}
