package operator

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
)

type domainDrainCmd struct {
	changer
	Domain string `arg:"" help:"Failure domain to drain."`
	Wait   bool   `help:"Wait until the change is in force everywhere." env:"TOUCAN_WAIT"`
}

type domainRestoreCmd struct {
	changer
	Domain string `arg:"" help:"Failure domain to restore."`
	Wait   bool   `help:"Wait until the change is in force everywhere." env:"TOUCAN_WAIT"`
}

type domainStatusCmd struct {
	Domain string `arg:"" optional:"" help:"Failure domain to show; all by default."`
}

// Run drains a failure domain.
func (c *domainDrainCmd) Run(s *session) error {
	return s.setDomain(c.changer, c.Wait, c.Domain, failuredomain.StateDrained)
}

// Run restores a failure domain.
func (c *domainRestoreCmd) Run(s *session) error {
	return s.setDomain(c.changer, c.Wait, c.Domain, failuredomain.StateRestoring)
}

func (s *session) setDomain(who changer, wait bool, domain string, state failuredomain.State) error {
	change := &api.SetDomain{Domain: failuredomain.ID(domain), State: state}
	return s.change(who, wait, change, func(control Control) (*api.ChangeReply, error) {
		ctx, cancel := s.timeout()
		defer cancel()
		return control.SetDomain(ctx, change)
	})
}

type domains struct {
	Revision uint64       `json:"revision"`
	InForce  bool         `json:"in_force"`
	Behind   []string     `json:"behind"`
	Domains  []domainView `json:"domains"`
}

type domainView struct {
	Domain    failuredomain.ID     `json:"domain"`
	Region    failuredomain.Region `json:"region"`
	State     failuredomain.State  `json:"state"`
	Endpoints int                  `json:"endpoints"`
	Processes int                  `json:"processes"`
}

func (r *domains) text(w io.Writer) {
	var rows [][]string
	for _, d := range r.Domains {
		rows = append(rows, []string{string(d.Domain), string(d.Region), string(d.State), strconv.Itoa(d.Endpoints), strconv.Itoa(d.Processes)})
	}
	table(w, []string{"DOMAIN", "REGION", "STATE", "ENDPOINTS", "PROCESSES"}, rows)
	line(w, "revision %d, %s", r.Revision, inForce(r.InForce, r.Behind))
}

// Run shows the failure domains.
func (c *domainStatusCmd) Run(s *session) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	out := &domains{Revision: st.Revision, InForce: st.InForce, Behind: behind(st), Domains: []domainView{}}
	for _, d := range st.Domains {
		if c.Domain == "" || string(d.ID) == c.Domain {
			out.Domains = append(out.Domains, viewDomain(d, st))
		}
	}
	if len(out.Domains) == 0 && c.Domain != "" {
		return fmt.Errorf("no failure domain is named %q", c.Domain)
	}
	return s.print(out)
}

func viewDomain(d failuredomain.Domain, st *api.Status) domainView {
	v := domainView{Domain: d.ID, Region: d.Region, State: d.State}
	for _, e := range st.Endpoints {
		if e.Domain == d.ID {
			v.Endpoints++
		}
	}
	for _, p := range st.Processes {
		if p.Instance.Domain == d.ID {
			v.Processes++
		}
	}
	return v
}

type endpointsCmd struct {
	Service string `help:"Only endpoints of this service." env:"TOUCAN_SERVICE"`
	Domain  string `help:"Only endpoints in this failure domain." env:"TOUCAN_DOMAIN"`
}

type endpoints struct {
	Endpoints []endpoint.Endpoint `json:"endpoints"`
}

func (r *endpoints) text(w io.Writer) {
	var rows [][]string
	for _, e := range r.Endpoints {
		state := "serving"
		if e.Leaving {
			state = "leaving"
		}
		rows = append(rows, []string{string(e.ID), e.Service, e.Version, string(e.Domain), e.Address, state})
	}
	table(w, []string{"ENDPOINT", "SERVICE", "VERSION", "DOMAIN", "ADDRESS", "STATE"}, rows)
}

// Run lists the endpoints.
func (c *endpointsCmd) Run(s *session) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	out := &endpoints{Endpoints: []endpoint.Endpoint{}}
	for _, e := range st.Endpoints {
		if (c.Service == "" || e.Service == c.Service) && (c.Domain == "" || string(e.Domain) == c.Domain) {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	slices.SortFunc(out.Endpoints, func(a, b endpoint.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if len(out.Endpoints) == 0 && (c.Service != "" || c.Domain != "") {
		return errors.New("no endpoint matches")
	}
	return s.print(out)
}
