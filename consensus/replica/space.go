package replica

import (
	"errors"
	"time"

	"toucantiller.dev/consensus"
	"toucantiller.dev/wal"
)

// spaceInterval is the number of ticks between attempts to free space on a full disk.
const spaceInterval = 10

// maxFullDiskCommand is the size of a command in bytes that is still accepted while the log lives
// on the space of its reserve, so that a leader can begin its term and renew what it has granted.
const maxFullDiskCommand = 64 << 10

// persist makes a batch durable. Without space on the disk the batch is kept in blocked, and the
// replica does nothing else until it is persisted: it neither acknowledges nor applies it.
func (r *Replica) persist(ready *consensus.Ready) bool {
	began := time.Now()
	err := r.storage.save(ready)
	r.logSlowSave(time.Since(began), ready)
	switch {
	case err == nil:
		r.blocked = nil
		return true
	case errors.Is(err, wal.ErrNoSpace):
		if r.blocked == nil {
			r.failCalls(ErrDiskFull)
			_ = r.cfg.Logger.Log("event", "replica.blocked", "id", r.storage.id, "err", err)
		}
		r.blocked = ready
	default:
		r.fail(err)
	}
	return false
}

// retryBlocked tries again to persist the blocked batch, and continues after it. If that fails, the
// log up to the batch is replaced by a snapshot, which may free the space.
func (r *Replica) retryBlocked() {
	ready := r.blocked
	if r.persist(ready) {
		_ = r.cfg.Logger.Log("event", "replica.unblocked", "id", r.storage.id)
		r.carryOut(*ready)
		r.processBatches()
		return
	}
	if r.blocked != nil && ready.Snapshot == nil && !r.writingSnapshot && r.core.Status().AppliedBytes > 0 {
		r.writeSnapshot()
	}
}

// awaitSpace handles one event while a batch is blocked. It returns false once the replica has
// stopped. Packets are lost and calls are rejected, as on a replica that does not lead.
func (r *Replica) awaitSpace(ticks <-chan time.Time) bool {
	select {
	case <-r.stop:
		r.shutDown()
		return false
	case <-ticks:
		if r.spaceTicks--; r.spaceTicks <= 0 {
			r.spaceTicks = spaceInterval
			r.retryBlocked()
		}
	case p := <-r.inbox.packets:
		r.inbox.taken(&p)
	case p := <-r.proposals.waiting:
		r.proposals.release(p.command)
		p.reply <- outcome{err: ErrDiskFull}
	case c := <-r.coreCalls:
		c.done <- &NotLeaderError{}
	case w := <-r.snapshotWrites:
		r.finishSnapshotWrite(w)
	}
	return true
}

// giveUpReserve makes space for a snapshot that did not fit on the disk. The snapshot is taken
// again after spaceInterval.
func (r *Replica) giveUpReserve(cause error) {
	_ = r.cfg.Logger.Log("event", "replica.snapshot_failed", "id", r.storage.id, "err", cause)
	r.spaceTicks = spaceInterval
	if err := r.storage.log.ReleaseReserve(); err != nil {
		r.fail(err)
	}
}

// lookForSpace hands the leadership over once the disk is full, and takes the reserve again, every
// spaceInterval. Attempts at a snapshot put off the latter only.
func (r *Replica) lookForSpace() {
	full := r.storage.log.Full()
	if full {
		r.yieldLeadership()
	} else {
		r.yielded = false
	}
	if r.spaceTicks > 0 {
		r.spaceTicks--
		return
	}
	if !full || r.writingSnapshot {
		return
	}
	r.spaceTicks = spaceInterval
	if err := r.storage.log.RestoreReserve(); err != nil && !errors.Is(err, wal.ErrNoSpace) {
		r.fail(err)
	}
}

// yieldLeadership hands the leadership to another replica, whose disk may have space. It does so
// once while the disk is full, so that the leadership does not go round if all disks are.
func (r *Replica) yieldLeadership() {
	if r.yielded || r.core.Status().Role != consensus.Leader {
		return
	}
	r.yielded = r.core.TransferLeadership(0) == nil
}
