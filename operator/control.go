package operator

import (
	"context"
	"errors"
	"time"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
)

// Control is what the operator's commands need of the control replicas. control.Client
// follows the leader and sends a change again, with the same operation ID, when an answer
// was lost, so the change happens at most once.
type Control interface {
	ApplyBundle(ctx context.Context, change *api.ApplyBundle) (*api.ChangeReply, error)
	SetDomain(ctx context.Context, change *api.SetDomain) (*api.ChangeReply, error)
	AbortMove(ctx context.Context, change *api.AbortMove) (*api.ChangeReply, error)
	ChangeReplicas(ctx context.Context, change *api.ChangeReplicas) (*api.ChangeReply, error)
	Status(ctx context.Context) (*api.Status, error)
	Bundle(ctx context.Context) (*api.BundleReply, error)
	Duties(ctx context.Context) (*api.DutiesReply, error)
}

var _ Control = (*control.Client)(nil)

// ErrNoReplica is returned when no control replica is configured.
var ErrNoReplica = errors.New("no control replica is configured; set --control or TOUCAN_CONTROL")

// pause waits and reports whether ctx is still live.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
