package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
	"toucantiller.dev/timeline"
)

type timelineCmd struct {
	Request  string   `help:"Only events of this request." env:"TOUCAN_REQUEST"`
	Endpoint string   `help:"Only events of this endpoint." env:"TOUCAN_ENDPOINT"`
	Move     string   `help:"Only events of the move of this service." env:"TOUCAN_MOVE"`
	Domain   string   `help:"Only events of this failure domain." env:"TOUCAN_DOMAIN"`
	Admin    []string `help:"More admin addresses to ask, as ip:port." env:"TOUCAN_ADMIN" placeholder:"ADDR"`
	HTML     string   `help:"Write one self-contained HTML page to this file." env:"TOUCAN_HTML" type:"path" placeholder:"FILE"`
}

// Bounds of gathering events.
const (
	gatherConcurrency = 32
	maxTimelineBody   = 16 << 20
	replicaTimeout    = 2 * time.Second
)

type gathered struct {
	Events []timeline.Event `json:"events"`
	// Missing names the processes that did not answer, with the reason.
	Missing []string `json:"missing,omitempty"`
}

func (r *gathered) text(w io.Writer) {
	timeline.WriteText(w, r.Events)
	for _, m := range r.Missing {
		line(w, "missing: %s", m)
	}
}

// Run gathers the events of all processes and shows them in one order.
func (c *timelineCmd) Run(s *session) error {
	var addrs []string
	if len(s.cli.Control) > 0 || s.Connect != nil || len(c.Admin) == 0 {
		st, err := s.status()
		if err != nil {
			return err
		}
		addrs = append(adminAddresses(st), s.replicaAdmins()...)
	}
	addrs = append(addrs, c.Admin...)
	slices.Sort(addrs)
	filter := timeline.Filter{Request: c.Request, Endpoint: c.Endpoint, Move: c.Move, Domain: c.Domain}
	out := s.gather(slices.Compact(addrs), filter)
	if len(out.Events) == 0 && len(out.Missing) > 0 {
		out.text(s.Stderr)
		return errors.New("no process answered with events")
	}
	if c.HTML == "" {
		return s.print(out)
	}
	return c.page(s, out)
}

func (c *timelineCmd) page(s *session, out *gathered) error {
	f, err := os.Create(c.HTML)
	if err != nil {
		return usageError{err}
	}
	err = timeline.WriteHTML(f, out.Events, out.Missing)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return s.print(&written{File: c.HTML, Events: len(out.Events)})
}

type written struct {
	File   string `json:"file"`
	Events int    `json:"events"`
}

func (r *written) text(w io.Writer) { line(w, "%s: %s", r.File, count(r.Events, "event")) }

func adminAddresses(st *api.Status) []string {
	var out []string
	for _, p := range st.Processes {
		if p.Instance.AdminAddress != "" {
			out = append(out, p.Instance.AdminAddress)
		}
	}
	for _, e := range st.Endpoints {
		if e.AdminAddress != "" {
			out = append(out, e.AdminAddress)
		}
	}
	return out
}

// replicaAdmins asks each control replica for its admin address: replicas hold no lease, so
// the leader does not list them. One that does not answer is left out.
func (s *session) replicaAdmins() []string {
	if s.Connect != nil {
		return nil
	}
	network, err := s.cli.Link.Network()
	if err != nil {
		return nil
	}
	var out []string
	for _, addr := range s.cli.Control {
		client := link.NewClient(network, addr)
		ctx, cancel := context.WithTimeout(s.ctx, replicaTimeout)
		reply := &api.Status{}
		if client.Call(ctx, control.ServiceName+".Status", &api.Empty{}, reply) == nil && reply.Self.AdminAddress != "" {
			out = append(out, reply.Self.AdminAddress)
		}
		cancel()
		client.Close()
	}
	return out
}

// gather asks all addresses at once, so that one silent process does not hold up the rest.
func (s *session) gather(addrs []string, f timeline.Filter) *gathered {
	ctx, cancel := s.timeout()
	defer cancel()
	var mu sync.Mutex
	out := &gathered{Events: []timeline.Event{}}
	var group errgroup.Group
	group.SetLimit(gatherConcurrency)
	for _, addr := range addrs {
		group.Go(func() error {
			events, err := s.fetch(ctx, addr, f)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Missing = append(out.Missing, fmt.Sprintf("%s: %v", addr, err))
			}
			out.Events = append(out.Events, events...)
			return nil
		})
	}
	_ = group.Wait() // the functions report their errors in Missing
	timeline.Sort(out.Events)
	out.Events = slices.CompactFunc(out.Events, func(a, b timeline.Event) bool { return a.Process == b.Process && a.Seq == b.Seq && a.At == b.At })
	slices.Sort(out.Missing)
	return out
}

func (s *session) fetch(ctx context.Context, addr string, f timeline.Filter) ([]timeline.Event, error) {
	url := "http://" + addr + "/timeline?" + f.Query().Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var events []timeline.Event
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxTimelineBody)).Decode(&events); err != nil {
		return nil, fmt.Errorf("not a time line: %w", err)
	}
	return slices.DeleteFunc(events, func(e timeline.Event) bool { return !f.Match(&e) }), nil
}
