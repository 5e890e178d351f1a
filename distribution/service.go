package distribution

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
	"toucantiller.dev/uptime"
)

// ServiceName is the net/rpc name of Service, which every process registers.
const ServiceName = "Distribution"

// MaxWait is the longest time for which a Subscribe call waits.
const MaxWait = 2 * time.Second

// MaxFanOut is the maximum number of waiting Subscribe calls at a process.
const MaxFanOut = 32

// ErrBusy is returned to callers beyond MaxFanOut, which then follow another relay.
var ErrBusy = errors.New("relay has its full number of subscribers")

// ErrNoView is returned while the process has no configuration itself.
var ErrNoView = errors.New("no configuration is held")

// Service serves a Holder's configuration and directory to other processes. Register it on
// a link.Server under ServiceName.
type Service struct {
	holder  *Holder
	waiting atomic.Int32
}

// NewService returns the service of a holder.
func NewService(h *Holder) *Service { return &Service{holder: h} }

// Subscribe waits until the holder has something newer than the caller, or for
// in.Wait. A call without Wait is answered at once and does not count towards MaxFanOut.
func (s *Service) Subscribe(in *api.Subscribe, out *api.View) error {
	if s.holder.Config() == nil {
		return ErrNoView
	}
	if in.Wait > 0 {
		if s.waiting.Add(1) > MaxFanOut {
			s.waiting.Add(-1)
			return ErrBusy
		}
		defer s.waiting.Add(-1)
	}
	*out = s.holder.Wait(in, nil)
	return nil
}

// Wait returns the view for a subscriber as soon as the holder has something newer than the
// subscriber, and otherwise after in.Wait (at most MaxWait) or when done closes.
func (h *Holder) Wait(in *api.Subscribe, done <-chan struct{}) api.View {
	start := h.now()
	timer := time.NewTimer(min(in.Wait, MaxWait))
	defer timer.Stop()
	for {
		h.mu.Lock()
		// Held and the beacon's age end at one moment: what passes after it is transit.
		now := h.now()
		view, newer := h.view(in, now)
		progress := h.progress
		h.mu.Unlock()
		if newer || in.Wait <= 0 {
			view.Held = now.Sub(start)
			return view
		}
		select {
		case <-progress:
		case <-timer.C:
			in.Wait = 0
		case <-done:
			in.Wait = 0
		}
	}
}

// view builds the view for a subscriber and reports whether it is to be sent at once: it
// contains something newer than the subscriber has, or this process follows the subscriber.
func (h *Holder) view(in *api.Subscribe, now uptime.Instant) (v api.View, newer bool) {
	v.Path = h.path
	newer = in.Instance != "" && slices.Contains(h.path, in.Instance)
	if c := h.config.Load(); c != nil && c.Revision > in.Revision {
		newer = true
		if v.ConfigDelta = h.configs.delta(in.Revision, diffConfig); v.ConfigDelta == nil {
			v.Config = &c.Parts
		}
	}
	if d := h.directory.Load(); d != nil && d.Revision > in.Directory {
		newer = true
		if v.DirectoryDelta = h.directories.delta(in.Directory, diffDirectory); v.DirectoryDelta == nil {
			v.Directory = d
		}
	}
	if b := h.beacon.Load(); b != nil {
		v.Beacon = api.Beacon{Revision: b.revision, Term: b.term, Seq: b.seq, Age: now.Sub(b.issued)}
		newer = newer || beaconNewer(b.term, b.seq, in.Term, in.Seq)
	}
	return v, newer
}

// subscribeRequest returns a Subscribe request that states the revisions and the beacon held.
func (h *Holder) subscribeRequest(wait time.Duration) api.Subscribe {
	in := api.Subscribe{Revision: h.Revision(), Wait: wait}
	if d := h.directory.Load(); d != nil {
		in.Directory = d.Revision
	}
	if b := h.beacon.Load(); b != nil {
		in.Term, in.Seq = b.term, b.seq
	}
	return in
}

// FetchFrom gets from a peer what is newer than the holder's copy. Processes call it when a
// reply on the data path carries a higher revision than their own.
func (h *Holder) FetchFrom(ctx context.Context, peer *link.Client) error {
	_, err := h.pull(ctx, peer, ServiceName+".Subscribe", h.subscribeRequest(0))
	return err
}

// pull makes one Subscribe call and accepts its view. After a delta on an unknown base it
// asks again for the full state.
func (h *Holder) pull(ctx context.Context, peer *link.Client, method string, in api.Subscribe) (*api.View, error) {
	start := h.now()
	view := &api.View{}
	if err := peer.Call(ctx, method, &in, view); err != nil {
		return nil, err
	}
	if view.Leader != "" {
		return view, nil
	}
	_, err := h.Accept(view, start.Add(view.Held))
	if errors.Is(err, ErrUnknownBase) && (in.Revision != 0 || in.Directory != 0) {
		return h.pull(ctx, peer, method, api.Subscribe{Instance: in.Instance})
	}
	return view, err
}
