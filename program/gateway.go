package program

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	kitlog "github.com/go-kit/log"

	"toucantiller.dev/agent/host"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/gateway"
	"toucantiller.dev/instance"
	"toucantiller.dev/intake"
	"toucantiller.dev/link"
	"toucantiller.dev/memory"
	"toucantiller.dev/platform"
	"toucantiller.dev/policy"
	"toucantiller.dev/quarantine"
)

// GatewaySettings are the settings of a gateway.
type GatewaySettings struct {
	Common         `embed:""`
	Listen         string    `help:"Address for callers, ip:port." env:"TOUCAN_LISTEN" default:"127.0.0.1:8080"`
	LinkListen     string    `help:"Address for other processes, ip:port." env:"TOUCAN_LINK_LISTEN" default:"127.0.0.1:7300"`
	LinkAdvertise  string    `help:"Address at which other processes reach --link-listen, ip:port, if not that address." env:"TOUCAN_LINK_ADVERTISE"`
	Control        []string  `help:"Addresses of the control replicas, ip:port, comma separated." env:"TOUCAN_CONTROL" required:""`
	ControlPort    int       `help:"Port of the control replicas, in place of those in --control; 0 for none." env:"TOUCAN_CONTROL_PORT"`
	Interface      string    `help:"Interface for callers: openai, or that of the users' platform." env:"TOUCAN_INTERFACE" enum:"openai,platform" default:"openai"`
	AgentListen    PortRange `help:"Address for dispatches to endpoints without an agent, whose agents this gateway runs: ip:port, or ip:first-last for the highest port that is free; empty for none." env:"TOUCAN_AGENT_LISTEN"`
	PaceSettings   `embed:""`
	UsageWindow    OptionalFloat `help:"Length of the windows in which the requests of each client account are counted, in s; empty counts none." env:"TOUCAN_USAGE_WINDOW"`
	BudgetSettings `embed:""`
	// StopDelay covers two health checks a second apart.
	StopDelay      time.Duration `help:"How long a stopping gateway accepts calls after /readyz fails, so that the balancer takes it out first." env:"TOUCAN_STOP_DELAY" default:"2s"`
	ShareByAccount bool          `help:"Share the room of a service among the client accounts that wait for it, by weight or, where none is set, by token limit." env:"TOUCAN_SHARE_BY_ACCOUNT"`
	FollowLoad     bool          `help:"Follow the load that endpoints of plain services state in their answers, and learn how much each takes well, also where they do not state how long work takes on their machine." env:"TOUCAN_FOLLOW_LOAD"`
	// Without is for experiments.
	Without []string `help:"Policies to switch off for an experiment, comma separated." env:"TOUCAN_WITHOUT"`
}

// Check checks the settings.
func (s *GatewaySettings) Check() error {
	return cmp.Or(
		s.Common.Check(),
		CheckAddress("listen", s.Listen),
		CheckAddress("link-listen", s.LinkListen),
		CheckAdvertised("link-advertise", s.LinkAdvertise),
		CheckAddresses("control", s.Control),
		CheckPort("control-port", s.ControlPort),
		checkStopDelay(s.StopDelay, s.StopTimeout),
		checkWithout(s.Without),
		checkUsageWindow(s.UsageWindow),
		s.BudgetSettings.Check(),
	)
}

func checkWithout(names []string) error {
	if _, err := policy.ParseOff(names); err != nil {
		return &SettingError{Flag: "without", Err: err}
	}
	return nil
}

func checkStopDelay(d, stop time.Duration) error {
	if d < 0 || d >= stop {
		return &SettingError{Flag: "stop-delay", Err: fmt.Errorf("%s is not between 0s and %s", d, stop)}
	}
	return nil
}

// Gateway is a running gateway process.
type Gateway struct {
	settings *GatewaySettings
	logger   kitlog.Logger
	admin    *Admin
	member   *member
	gateway  *gateway.Gateway
	evidence *evidenceReporter
	losses   *lossReporter
	// usage is nil if --usage-window is empty.
	usage          *usageReporter
	callerListener net.Listener
	// host runs agents for endpoints without one and dispatchListener is its listener; both
	// are nil if --agent-listen is empty.
	host             *host.Host
	dispatchListener net.Listener
	cancel           context.CancelFunc
}

// NewGateway builds a gateway.
func NewGateway(s *GatewaySettings, network link.Network, logger kitlog.Logger) (*Gateway, error) {
	admin, err := NewAdmin(s.ID)
	if err != nil {
		return nil, err
	}
	if admin.account, err = s.newIntake(admin, logger); err != nil {
		return nil, err
	}
	m := newMember(s.Instance(instance.RoleGateway), network, ReplacePorts(s.Control, s.ControlPort), admin, logger)
	g := &Gateway{settings: s, logger: logger, admin: admin, member: m}
	g.evidence = &evidenceReporter{gateway: m.self.ID, underMove: g.underMove, report: m.control.ReportEvidence}
	length, err := usageWindowOf(s.UsageWindow)
	if err != nil {
		return nil, err
	}
	g.usage, err = newUsageReporter(m.self, length, m.control.ReportUsage, admin.Telemetry.Meter("toucantiller.dev/gateway"), logger)
	if err != nil {
		return nil, err
	}
	g.losses = &lossReporter{gateway: m.self.ID, watcher: quarantine.NewWatcher(time.Now()), report: m.control.ReportLosses, logger: logger}
	return g, nil
}

// underMove reports whether a service has an unproven version or had its share changed by
// a move.
func (g *Gateway) underMove(service string) bool {
	config := g.member.Config()
	if config == nil {
		return false
	}
	s, ok := config.ServiceByName(service)
	return ok && len(s.Versions) > 1
}

// Start listens and serves. It does not wait for a configuration: /readyz reports ready once
// the first one has arrived.
func (g *Gateway) Start(ctx context.Context) error {
	TuneCollector()
	g.settings.MemoryLimit.limitCollector()
	if err := g.listen(); err != nil {
		return err
	}
	off, err := policy.ParseOff(g.settings.Without)
	if err != nil {
		return err
	}
	g.gateway, err = gateway.New(gateway.Options{
		Without: off,

		ShareByAccount: g.settings.ShareByAccount,
		FollowLoad:     g.settings.FollowLoad,

		Instance: g.member.self,
		View:     g.member,
		Claims:   claims{g.member.control},
		Budgets:  g.member.control,

		BudgetLease: g.settings.leaseDuration(),

		Evidence: g.evidence,
		Network:  g.member.network,
		Logger:   g.logger,
		Timeline: g.admin.Timeline,
		Meter:    g.admin.Telemetry.Meter("toucantiller.dev/gateway"),

		Quarantine: g.losses.watcher,
		Usage:      g.usageCounter(),

		StopDelay:    g.settings.StopDelay,
		MemoryBudget: memory.BudgetOf(int64(g.settings.MemoryLimit)),
		Handler:      g.callerHandler(),
		NewEngine: func(target string, maxConnections int) endpoint.Engine {
			return platform.NewEngine(nil, target, maxConnections)
		},
	})
	if err != nil {
		return err
	}
	if err := g.newHost(); err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.startHost(run)
	g.member.start(nil)
	g.member.goroutines.Go(func() { g.evidence.run(run) })
	g.member.goroutines.Go(func() { g.losses.run(run) })
	if g.usage != nil {
		g.member.goroutines.Go(func() { g.usage.run(run) })
	}
	g.member.goroutines.Go(func() { g.followDirectory(run, g.losses.publish) })
	g.member.goroutines.Go(func() { g.member.logChanges(run) })
	g.member.goroutines.Go(func() { _ = g.gateway.Serve(g.callerListener) })
	g.member.goroutines.Go(func() { g.setReadyWhenConfigured(run) })
	_ = g.logger.Log("msg", "gateway started", "listen", g.callerListener.Addr(), "without", off)
	return nil
}

// usageCounter returns what counts requests that begin to run, nil if nothing does.
func (g *Gateway) usageCounter() gateway.Usage {
	if g.usage == nil {
		return nil
	}
	return g.usage.counter
}

// newHost builds the host of agents, if there is a listener for it.
func (g *Gateway) newHost() (err error) {
	if g.dispatchListener == nil {
		return nil
	}
	g.host, err = host.New(host.Options{
		Self: g.member.self, View: g.member, Network: g.member.network, Logger: g.logger, Timeline: g.admin.Timeline,
		Pace:      g.settings.pace(),
		Bodies:    memory.NewBound(memory.AgentOf(int64(g.settings.MemoryLimit)).HostedBodies),
		NewEngine: func(target string) endpoint.Engine { return platform.NewEngine(nil, target, 0) },
	})
	return err
}

// startHost serves dispatches and passes changes of the directory to the host until ctx ends.
func (g *Gateway) startHost(ctx context.Context) {
	if g.host == nil {
		return
	}
	g.member.goroutines.Go(func() { _ = g.host.Serve(g.dispatchListener) })
	g.member.goroutines.Go(func() {
		g.followDirectory(ctx, func(d *api.Directory) { g.host.Update(d.Endpoints) })
	})
}

// followDirectory passes the directory to update after each change until ctx ends.
func (g *Gateway) followDirectory(ctx context.Context, update func(*api.Directory)) {
	changes, unwatch := g.member.holder.Watch()
	defer unwatch()
	for {
		if d := g.member.Directory(); d != nil {
			update(d)
		}
		select {
		case <-changes:
		case <-ctx.Done():
			return
		}
	}
}

// handOverAgents drains the agents that run here and withdraws the agent address from the
// announcement, so that control lets another process host them.
func (g *Gateway) handOverAgents() {
	if g.host == nil {
		return
	}
	g.host.Drain()
	self := g.member.self
	self.AgentAddress = ""
	g.member.announcer.SetSelf(self)
}

// callerHandler returns the constructor of the HTTP handler for the interface that the
// settings name; nil selects the gateway's default handler.
func (g *Gateway) callerHandler() func(*gateway.Gateway) http.Handler {
	if g.settings.Interface == "platform" {
		return platform.Ingress
	}
	return nil
}

func (g *Gateway) setReadyWhenConfigured(ctx context.Context) {
	if g.member.waitForConfig(ctx) == nil {
		g.admin.Telemetry.SetReady(true)
	}
}

func (g *Gateway) listen() error {
	if err := g.admin.Start(g.settings.AdminListen); err != nil {
		return err
	}
	g.member.self.AdminAddress = g.admin.Address()
	if err := g.member.listen(g.settings.LinkListen, g.settings.LinkAdvertise); err != nil {
		return err
	}
	l, err := net.Listen("tcp", g.settings.Listen)
	if err != nil {
		return &SettingError{Flag: "listen", Err: err}
	}
	g.callerListener = g.admin.account.Listen(l, g.callerIntake())
	if g.settings.AgentListen.Empty() {
		return nil
	}
	if g.dispatchListener, err = g.settings.AgentListen.Listen(g.hostedNetwork()); err != nil {
		return &SettingError{Flag: "agent-listen", Err: err}
	}
	g.member.self.AgentAddress = g.dispatchListener.Addr().String()
	return nil
}

// callerIntake bounds what callers may take, by the configuration in force where it states bounds.
func (g *Gateway) callerIntake() intake.Options {
	return intake.Options{
		Name: "callers", PlaceShare: callerShare, Heads: true, AnswerTimeout: answerTimeout,
		MaxHead: func() int64 {
			if c := g.member.Config(); c != nil && c.MaxCallerHead > 0 {
				return c.MaxCallerHead
			}
			return g.settings.MaxHeaderBytes
		},
		HeadTimeout: func() time.Duration {
			if c := g.member.Config(); c != nil && c.CallerHeadTimeout > 0 {
				return c.CallerHeadTimeout + headTimeoutRoom
			}
			return 0
		},
	}
}

func (g *Gateway) hostedNetwork() link.Network {
	return intakeNetwork{g.member.network, g.admin.account, intake.Options{Name: "hosted agents", PlaceShare: hostedShare, Heads: true, MaxHead: maxDispatchHead}}
}

// WaitReady returns when the first configuration has arrived.
func (g *Gateway) WaitReady(ctx context.Context) error { return g.member.waitForConfig(ctx) }

// Endpoints returns the number of endpoints in the directory.
func (g *Gateway) Endpoints() int {
	if d := g.member.Directory(); d != nil {
		return len(d.Endpoints)
	}
	return 0
}

// Address returns the address of the listener for callers.
func (g *Gateway) Address() string { return g.callerListener.Addr().String() }

// Stop makes /readyz fail, accepts calls for the stop delay, finishes open requests and
// deregisters.
func (g *Gateway) Stop(ctx context.Context) error {
	g.admin.Telemetry.SetReady(false)
	g.handOverAgents()
	err := g.gateway.Stop(ctx)
	if g.host != nil {
		err = cmp.Or(err, g.host.Stop(ctx))
	}
	if g.usage != nil {
		g.usage.finish(ctx)
	}
	_ = g.member.leave(ctx) // if control cannot be reached, the lease expires
	g.cancel()
	g.member.stop()
	_ = g.logger.Log("msg", "gateway stopped")
	return cmp.Or(err, g.admin.Stop(ctx))
}

// claims adapts the control client to gateway.Claims.
type claims struct{ client *control.Client }

// Claim claims an idempotency key.
func (c claims) Claim(ctx context.Context, in api.Claim) (api.ClaimReply, error) {
	out, err := c.client.Claim(ctx, &in)
	if err != nil {
		return api.ClaimReply{}, err
	}
	return *out, nil
}

// CompleteClaim stores the outcome of a claim.
func (c claims) CompleteClaim(ctx context.Context, in api.CompleteClaim) error {
	return c.client.CompleteClaim(ctx, &in)
}
