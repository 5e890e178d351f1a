package program

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/url"
	"strings"

	kitlog "github.com/go-kit/log"

	"toucantiller.dev/agent"
	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/intake"
	"toucantiller.dev/link"
	"toucantiller.dev/memory"
	"toucantiller.dev/platform"
)

// AgentSettings are the settings of an agent.
type AgentSettings struct {
	Common            `embed:""`
	Service           string `help:"Service that the endpoint belongs to." env:"TOUCAN_SERVICE"`
	ServiceVersion    string `help:"Version that the endpoint serves." env:"TOUCAN_SERVICE_VERSION"`
	SelfAnnounced     bool   `help:"The endpoint announces itself to control on the users' platform; the agent needs neither service nor control." env:"TOUCAN_SELF_ANNOUNCED"`
	Engine            string `help:"Base URL of the engine or plain service." env:"TOUCAN_ENGINE" required:""`
	DispatchListen    string `help:"Address for dispatches of gateways, ip:port." env:"TOUCAN_DISPATCH_LISTEN" default:"127.0.0.1:7400"`
	DispatchAdvertise string `help:"Address at which gateways reach --dispatch-listen, ip:port, if not that address." env:"TOUCAN_DISPATCH_ADVERTISE"`
	LinkListen        string `help:"Address for other processes, ip:port." env:"TOUCAN_LINK_LISTEN" default:"127.0.0.1:7401"`
	LinkAdvertise     string `help:"Address at which other processes reach --link-listen, ip:port, if not that address." env:"TOUCAN_LINK_ADVERTISE"`
	PaceSettings      `embed:""`
	Control           []string `help:"Addresses of the control replicas, ip:port, comma separated." env:"TOUCAN_CONTROL"`
}

// PaceSettings bound the rate at which agents send requests to endpoints that announce
// themselves.
type PaceSettings struct {
	ColdOverrun OptionalFloat `help:"Bound on the requests in one second to an endpoint that may be cold, as a multiple of the rate that it bears while cold; 1.2 by default." env:"TOUCAN_COLD_OVERRUN"`
	ColdSlack   OptionalFloat `help:"Requests in one second beyond --cold-overrun; 2 by default." env:"TOUCAN_COLD_SLACK"`
}

// pace returns the bound, with defaults for unset values.
func (s *PaceSettings) pace() agent.Pace {
	return agent.Pace{Overrun: s.ColdOverrun.Or(agent.DefaultPace.Overrun), Slack: s.ColdSlack.Or(agent.DefaultPace.Slack)}
}

// Check checks the settings.
func (s *AgentSettings) Check() error {
	return cmp.Or(
		s.Common.Check(),
		CheckAddress("dispatch-listen", s.DispatchListen),
		CheckAdvertised("dispatch-advertise", s.DispatchAdvertise),
		CheckAddress("link-listen", s.LinkListen),
		CheckAdvertised("link-advertise", s.LinkAdvertise),
		s.checkAnnouncement(),
		checkEngineURL(s.Engine),
	)
}

// checkAnnouncement checks the settings that the agent needs to announce its endpoint.
func (s *AgentSettings) checkAnnouncement() error {
	if s.SelfAnnounced {
		return nil
	}
	if s.Service == "" {
		return &SettingError{Flag: "service", Err: errMissing}
	}
	if s.ServiceVersion == "" {
		return &SettingError{Flag: "service-version", Err: errMissing}
	}
	return CheckAddresses("control", s.Control)
}

var errMissing = errors.New("a value is needed")

func checkEngineURL(base string) error {
	u, err := url.Parse(base)
	if err != nil {
		return &SettingError{Flag: "engine", Err: err}
	}
	if u.Scheme != "http" || u.Host == "" {
		return &SettingError{Flag: "engine", Err: errors.New("must be an http:// URL")}
	}
	return nil
}

// Agent is a running agent process.
type Agent struct {
	settings         *AgentSettings
	logger           kitlog.Logger
	admin            *Admin
	member           *member
	agent            *agent.Agent
	dispatchListener net.Listener
	cancel           context.CancelFunc
}

// NewAgent builds an agent.
func NewAgent(s *AgentSettings, network link.Network, logger kitlog.Logger) (*Agent, error) {
	admin, err := NewAdmin(s.ID)
	if err != nil {
		return nil, err
	}
	if admin.account, err = s.newIntake(admin, logger); err != nil {
		return nil, err
	}
	m := newMember(s.Instance(instance.RoleAgent), network, s.Control, admin, logger)
	return &Agent{settings: s, logger: logger, admin: admin, member: m}, nil
}

// Start listens, announces the endpoint and serves.
func (a *Agent) Start(context.Context) error {
	TuneCollector()
	a.settings.MemoryLimit.limitCollector()
	if err := a.listen(); err != nil {
		return err
	}
	e := a.endpoint()
	bounds := memory.AgentOf(int64(a.settings.MemoryLimit))
	var err error
	a.agent, err = agent.New(agent.Options{
		Endpoint:   e,
		Engine:     a.engine(),
		Pace:       a.settings.pace(),
		View:       a.member,
		Network:    a.member.network,
		Logger:     a.logger,
		Timeline:   a.admin.Timeline,
		Meter:      a.admin.Telemetry.Meter("toucantiller.dev/agent"),
		MaxAnswers: bounds.Answers,
		Bodies:     memory.NewBound(bounds.Bodies),
	})
	if err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.member.goroutines.Go(func() { _ = a.agent.Serve(a.dispatchListener) })
	if !a.settings.SelfAnnounced {
		a.member.start(&e)
		a.member.goroutines.Go(func() { a.member.logChanges(run) })
	}
	a.admin.Telemetry.SetReady(true)
	_ = a.logger.Log("msg", "agent started", "endpoint", e.ID, "service", e.Service, "version", e.Version)
	return nil
}

func (a *Agent) listen() error {
	if err := a.admin.Start(a.settings.AdminListen); err != nil {
		return err
	}
	a.member.self.AdminAddress = a.admin.Address()
	if !a.settings.SelfAnnounced {
		if err := a.member.listen(a.settings.LinkListen, a.settings.LinkAdvertise); err != nil {
			return err
		}
	}
	network := intakeNetwork{a.member.network, a.admin.account, intake.Options{Name: "dispatches", PlaceShare: agentShare, Heads: true, MaxHead: maxDispatchHead}}
	l, err := network.Listen(a.settings.DispatchListen)
	if err != nil {
		return &SettingError{Flag: "dispatch-listen", Err: err}
	}
	a.dispatchListener = l
	return nil
}

// engine returns the HTTP client for the endpoint's engine or plain service.
func (a *Agent) engine() endpoint.Engine {
	if a.settings.SelfAnnounced {
		return platform.NewEngine(nil, strings.TrimPrefix(a.settings.Engine, "http://"), 0)
	}
	return httpengine.New(nil, a.settings.Engine)
}

func (a *Agent) endpoint() endpoint.Endpoint {
	self := a.member.self
	return endpoint.Endpoint{
		ID:           self.ID,
		Incarnation:  self.Incarnation,
		Service:      a.settings.Service,
		Version:      a.settings.ServiceVersion,
		Domain:       self.Domain,
		Address:      cmp.Or(a.settings.DispatchAdvertise, a.dispatchListener.Addr().String()),
		LinkAddress:  self.LinkAddress,
		AdminAddress: self.AdminAddress,
	}
}

// Stop refuses new work, deregisters, finishes running work and stops.
func (a *Agent) Stop(ctx context.Context) error {
	a.admin.Telemetry.SetReady(false)
	a.agent.Drain()
	if !a.settings.SelfAnnounced {
		_ = a.member.leave(ctx) // if control cannot be reached, the lease expires
	}
	err := a.agent.Stop(ctx)
	a.cancel()
	if a.settings.SelfAnnounced {
		a.member.goroutines.Wait()
	} else {
		a.member.stop()
	}
	_ = a.logger.Log("msg", "agent stopped")
	return cmp.Or(err, a.admin.Stop(ctx))
}
