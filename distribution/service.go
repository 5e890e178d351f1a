package distribution

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
)

// ServiceName is the net/rpc name under which every process serves its copy.
const ServiceName = "Distribution"

// MaxWait bounds how long a Subscribe call waits.
const MaxWait = 2 * time.Second

// MaxFanOut is the number of calls that a process keeps waiting at once.
const MaxFanOut = 32

// ErrBusy is returned to callers beyond MaxFanOut; they follow another relay.
var ErrBusy = errors.New("relay has its full number of subscribers")

// ErrNoView is returned while the process has no configuration itself.
var ErrNoView = errors.New("no configuration is held")

// Service passes a Holder's copy on to other processes. Register it on a link.Server
// under ServiceName.
type Service struct {
	holder  *Holder
	waiting atomic.Int32
}

// NewService returns the service of a holder.
func NewService(h *Holder) *Service { return &Service{holder: h} }

// Subscribe waits until the holder has something newer than the caller, or for
// in.Wait. A call with no Wait is answered at once, whatever the number of subscribers.
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

// Wait returns the view for a subscriber as soon as something is newer than what it
// has, and otherwise after in.Wait or when done closes.
func (h *Holder) Wait(in *api.Subscribe, done <-chan struct{}) api.View {
	start := time.Now()
	timer := time.NewTimer(min(in.Wait, MaxWait))
	defer timer.Stop()
	for {
		h.mu.Lock()
		view, news := h.view(in)
		progress := h.progress
		h.mu.Unlock()
		if news || in.Wait <= 0 {
			view.Held = time.Since(start)
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

// view builds the view for a subscriber and reports whether it contains news.
func (h *Holder) view(in *api.Subscribe) (v api.View, news bool) {
	if c := h.config.Load(); c != nil && c.Revision > in.Revision {
		news = true
		if v.ConfigDelta = h.configs.delta(in.Revision, diffConfig); v.ConfigDelta == nil {
			v.Config = c
		}
	}
	if d := h.directory.Load(); d != nil && d.Revision > in.Directory {
		news = true
		if v.DirectoryDelta = h.dirs.delta(in.Directory, diffDirectory); v.DirectoryDelta == nil {
			v.Directory = d
		}
	}
	if b := h.beacon.Load(); b != nil {
		v.Beacon = api.Beacon{Revision: b.revision, Term: b.term, Seq: b.seq, Age: max(time.Since(b.issued), 0)}
		news = news || newer(b.term, b.seq, in.Term, in.Seq)
	}
	return v, news
}

// position returns what the holder has, as the argument of a Subscribe call.
func (h *Holder) position(wait time.Duration) api.Subscribe {
	in := api.Subscribe{Revision: h.Revision(), Wait: wait}
	if d := h.directory.Load(); d != nil {
		in.Directory = d.Revision
	}
	if b := h.beacon.Load(); b != nil {
		in.Term, in.Seq = b.term, b.seq
	}
	return in
}

// FetchFrom takes over what a peer has that is newer. Processes call it when a reply on
// the data path carries a higher revision than their own.
func (h *Holder) FetchFrom(ctx context.Context, peer *link.Client) error {
	_, err := h.pull(ctx, peer, ServiceName+".Subscribe", h.position(0))
	return err
}

// pull makes one Subscribe call and accepts its view. A delta that does not fit is
// followed by a call for the whole.
func (h *Holder) pull(ctx context.Context, peer *link.Client, method string, in api.Subscribe) (*api.View, error) {
	start := time.Now()
	view := &api.View{}
	if err := peer.Call(ctx, method, &in, view); err != nil {
		return nil, err
	}
	if view.Leader != "" {
		return view, nil
	}
	_, err := h.Accept(view, max(time.Since(start)-view.Held, 0))
	if errors.Is(err, ErrUnknownBase) && (in.Revision != 0 || in.Directory != 0) {
		return h.pull(ctx, peer, method, api.Subscribe{Instance: in.Instance})
	}
	return view, err
}
