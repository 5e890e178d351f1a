package program

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	kitlog "github.com/go-kit/log"

	"toucantiller.dev/budget"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/control/decider"
	"toucantiller.dev/instance"
	"toucantiller.dev/intake"
	"toucantiller.dev/lastrun"
	"toucantiller.dev/link"
	"toucantiller.dev/platform"
	"toucantiller.dev/wal"
)

// ControlSettings are the settings of a control replica.
type ControlSettings struct {
	Common    `embed:""`
	Listen    string   `help:"Address for other processes and operators, ip:port." env:"TOUCAN_LISTEN" default:"127.0.0.1:7100"`
	Advertise string   `help:"Address at which other processes reach this one, ip:port, if not --listen." env:"TOUCAN_ADVERTISE"`
	Data      string   `help:"Folder for the replica's state; it must exist." env:"TOUCAN_DATA" required:"" xor:"storage" type:"path"`
	DiskMB    int      `help:"Size of the disk of the data folder in MB, of which stored answers take at most an eighth; 0 if it is large." env:"TOUCAN_DISK_MB"`
	Relay     bool     `help:"Hold no state and send callers to the leader, on instances without a disk." env:"TOUCAN_RELAY" required:"" xor:"storage"`
	Members   []string `help:"Addresses of all replicas including this one, ip:port, comma separated." env:"TOUCAN_MEMBERS" required:""`
	// MemberPort is for deployments that know the members by another of their ports.
	MemberPort     int           `help:"Port of the replicas, in place of those in --members; 0 for none." env:"TOUCAN_MEMBER_PORT"`
	SeedsFile      string        `help:"File with the control addresses that the deployment names at present, like --members; it may change." env:"TOUCAN_SEEDS_FILE"`
	Bootstrap      bool          `help:"Form a new group with --members while the data folder is empty; otherwise ask them to be added to theirs." env:"TOUCAN_BOOTSTRAP" default:"true" negatable:""`
	Tick           time.Duration `help:"Unit of elections: a replica starts one after 10 to 20 ticks of silence." env:"TOUCAN_TICK" default:"50ms"`
	TokenOverrun   OptionalFloat `help:"Share of an account's token limit that may be admitted beyond it." env:"TOUCAN_TOKEN_OVERRUN"`
	TokenSlack     OptionalFloat `help:"Tokens that may be admitted beyond an account's limit in a short time." env:"TOUCAN_TOKEN_SLACK"`
	BudgetSettings `embed:""`
	SelfRepair     bool         `help:"The leader adds replicas that ask to join and removes silent ones in their favour, without an operator." env:"TOUCAN_SELF_REPAIR"`
	CallListen     string       `help:"Address for operators and endpoints of the users' platform, ip:port; empty for none." env:"TOUCAN_CALL_LISTEN"`
	AgentPort      int          `help:"Port of the agents beside model endpoints on the users' platform." env:"TOUCAN_AGENT_PORT"`
	Duties         DutySettings `embed:""`
	// FS holds the data folder; the operating system's file system if it is nil.
	FS wal.FS `kong:"-"`
}

// Check checks the settings.
func (s *ControlSettings) Check() error {
	return cmp.Or(
		s.Common.Check(),
		CheckAddress("listen", s.Listen),
		CheckAdvertised("advertise", s.Advertise),
		s.checkData(),
		CheckAddresses("members", s.Members),
		checkTick(s.Tick),
		checkDisk(s.DiskMB),
		CheckPort("member-port", s.MemberPort),
		CheckPort("agent-port", s.AgentPort),
		CheckAdvertised("call-listen", s.CallListen),
		s.Duties.Check(),
		s.BudgetSettings.Check(),
	)
}

// claimDiskShare is the part of the disk that claims may take: a snapshot of them stands beside the
// one before and a log of about the same size.
const claimDiskShare = 8

// maxClaimBytes returns the bound on claims, 0 for the default.
func (s *ControlSettings) maxClaimBytes() int { return s.DiskMB << 20 / claimDiskShare }

// maxDiskMB is a petabyte.
const maxDiskMB = 1 << 30

func checkDisk(mb int) error {
	if mb < 0 || mb > maxDiskMB {
		return &SettingError{Flag: "disk-mb", Err: fmt.Errorf("%d is not between 0 and %d", mb, maxDiskMB)}
	}
	return nil
}

func (s *ControlSettings) checkData() error {
	if s.Relay {
		return nil
	}
	return CheckFolder("data", s.Data)
}

// minTick is long enough that a delay of a few milliseconds does not start an election.
const minTick = 10 * time.Millisecond

func checkTick(d time.Duration) error {
	if d < minTick {
		return &SettingError{Flag: "tick", Err: fmt.Errorf("%s is below %s", d, minTick)}
	}
	return nil
}

// memberAddress returns the replica's address in the group.
func (s *ControlSettings) memberAddress() string { return cmp.Or(s.Advertise, s.Listen) }

// Control is a running control replica.
type Control struct {
	settings       *ControlSettings
	logger         kitlog.Logger
	admin          *Admin
	network        link.Network
	server         *control.Server
	platformServer *http.Server
	cancelJoin     context.CancelFunc
	failed         chan struct{}
	// run is the record of this process; nil at a relay, which has no data folder.
	run *lastrun.Run
	// oddSeeds are the seeds that were left out when this was last logged.
	oddSeeds atomic.Pointer[string]
}

// NewControl builds a replica.
func NewControl(s *ControlSettings, network link.Network, logger kitlog.Logger) (*Control, error) {
	admin, err := NewAdmin(s.ID)
	if err != nil {
		return nil, err
	}
	if admin.account, err = s.newIntake(admin, logger); err != nil {
		return nil, err
	}
	return &Control{settings: s, logger: logger, admin: admin, network: network, failed: make(chan struct{})}, nil
}

// Start logs how the previous process with the data folder ended, opens the replicated log, or a
// relay to the leader, and serves.
func (c *Control) Start(ctx context.Context) error {
	c.settings.MemoryLimit.limitCollector()
	if !c.settings.Relay {
		c.run = lastrun.Start(c.settings.Data, c.logger)
	}
	if err := c.start(ctx); err != nil {
		c.run.End(err)
		return err
	}
	return nil
}

func (c *Control) start(ctx context.Context) error {
	if err := c.admin.Start(c.settings.AdminListen); err != nil {
		return err
	}
	self := c.settings.Instance(instance.RoleControl)
	self.LinkAddress = c.settings.memberAddress()
	self.AdminAddress = c.admin.Address()
	duties, err := c.settings.Duties.options(c.settings.ID)
	if err != nil {
		return err
	}
	server, err := control.New(control.Options{
		Self:       self,
		Listen:     c.settings.Listen,
		Network:    intakeNetwork{c.network, c.admin.account, intake.Options{Name: "link", PlaceShare: controlLinkShare}},
		NewDecider: func(m api.Move) control.Decider { return decider.New(m) },
		OpenLog:    c.openLog(),
		SelfRepair: c.settings.SelfRepair,

		Duties:        duties,
		BudgetLease:   c.settings.leaseDuration(),
		MaxClaimBytes: c.settings.maxClaimBytes(),
		Seeds:         c.seedAddresses,
		TokenTolerance: budget.Tolerance{
			Overrun: c.settings.TokenOverrun.Or(0), Slack: c.settings.TokenSlack.Or(0),
		},
		Recorder: c.admin.Timeline,
		Meter:    c.admin.Telemetry.Meter("toucantiller.dev/control"),
		Logger:   c.logger,
	})
	if err != nil {
		return err
	}
	if err := server.Start(ctx); err != nil {
		return err
	}
	c.server = server
	c.run.SetLogBytes(server.LogBytes)
	if err := c.servePlatformCalls(); err != nil {
		return err
	}
	c.joinGroup()
	c.admin.Telemetry.SetReady(true)
	go c.awaitFailure()
	_ = c.logger.Log("msg", "control replica started", "listen", c.settings.Listen)
	return nil
}

func (c *Control) openLog() control.OpenLog {
	if c.settings.Relay {
		return control.RelayLog(control.RelayOptions{Seeds: c.memberAddresses(), Network: c.network, Logger: c.logger})
	}
	return control.ReplicaLog(control.ReplicaOptions{
		DataFolder: c.settings.Data,
		Address:    c.settings.memberAddress(),
		Members:    c.foundingMembers(),
		Network:    c.network,
		Tick:       c.settings.Tick,
		Logger:     c.logger,
		FS:         c.settings.FS,
	})
}

// memberAddresses returns the link addresses of the replicas that the settings name.
func (c *Control) memberAddresses() []string {
	return ReplacePorts(c.settings.Members, c.settings.MemberPort)
}

// seedAddresses returns the link addresses of control in the seeds file, which is read at
// each call, or those of the members if the file names no valid one. It leaves out the others.
func (c *Control) seedAddresses() []string {
	if c.settings.SeedsFile == "" {
		return c.memberAddresses()
	}
	content, err := os.ReadFile(c.settings.SeedsFile)
	if err != nil {
		_ = c.logger.Log("msg", "seeds not read", "err", err)
		return c.memberAddresses()
	}
	seeds := ReplacePorts(strings.Split(strings.TrimSpace(string(content)), ","), c.settings.MemberPort)
	if seeds = c.validSeeds(seeds); len(seeds) > 0 {
		return seeds
	}
	return c.memberAddresses()
}

// validSeeds returns the seeds to which this process can connect and logs the others, each once
// until the file is valid again.
func (c *Control) validSeeds(seeds []string) []string {
	var valid, odd []string
	for _, s := range seeds {
		if s != "" && CheckAdvertised("seeds-file", s) == nil {
			valid = append(valid, s)
			continue
		}
		odd = append(odd, s)
	}
	if all := strings.Join(odd, ","); len(odd) > 0 && c.oddSeeds.Swap(&all) == nil {
		_ = c.logger.Log("msg", "seeds left out", "seeds", fmt.Sprintf("%.256q", odd))
	}
	if len(odd) == 0 {
		c.oddSeeds.Store(nil)
	}
	return valid
}

// foundingMembers returns the replicas with which this one may form a group, or none if it
// has to be added to an existing group.
func (c *Control) foundingMembers() []string {
	if c.settings.Bootstrap && slices.Contains(c.memberAddresses(), c.settings.memberAddress()) {
		return c.memberAddresses()
	}
	return nil
}

// joinGroup asks the members to add this replica to their group, unless it is a relay or a
// founding member.
func (c *Control) joinGroup() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancelJoin = cancel
	if !c.settings.Relay && len(c.foundingMembers()) == 0 {
		go c.server.Join(ctx, c.memberAddresses(), c.settings.Bootstrap)
	}
}

// servePlatformCalls serves calls by operators and endpoints of the users' platform.
func (c *Control) servePlatformCalls() error {
	if c.settings.CallListen == "" {
		return nil
	}
	l, err := net.Listen("tcp", c.settings.CallListen)
	if err != nil {
		return &SettingError{Flag: "call-listen", Err: err}
	}
	_, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return &SettingError{Flag: "call-listen", Err: err}
	}
	l = c.admin.account.Listen(l, intake.Options{Name: "calls", PlaceShare: controlCallShare, Heads: true, MaxHead: c.settings.maxHead, AnswerTimeout: answerTimeout})
	calls := &platform.Control{Server: c.server, AgentPort: strconv.Itoa(c.settings.AgentPort), Port: port, Logger: c.logger}
	c.platformServer = &http.Server{
		Handler: intake.Handler(calls.Handler()), ReadHeaderTimeout: callReadHeaderTimeout, MaxHeaderBytes: intake.DefaultMaxHead, IdleTimeout: callIdleTimeout,
		ConnState: intake.Observe, ConnContext: intake.ConnContext,
	}
	go func() {
		if err := c.platformServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = c.logger.Log("msg", "calls no longer served", "err", err)
		}
	}()
	return nil
}

// Timeouts of connections from operators and endpoints.
const (
	callReadHeaderTimeout = 5 * time.Second
	callIdleTimeout       = time.Minute
)

// Failed is closed when the replica has stopped by itself, for example because its disk
// failed.
func (c *Control) Failed() <-chan struct{} { return c.failed }

// awaitFailure waits until the server stops and closes c.failed if it stopped with an error.
func (c *Control) awaitFailure() {
	<-c.server.Done()
	if err := c.server.Err(); err != nil {
		c.admin.Telemetry.SetReady(false)
		_ = c.logger.Log("msg", "control replica failed", "err", err)
		c.run.Fail(err)
		close(c.failed)
	}
}

// Stop ends the replica.
func (c *Control) Stop(ctx context.Context) error {
	c.admin.Telemetry.SetReady(false)
	c.cancelJoin()
	err := c.server.Stop(ctx)
	if c.platformServer != nil {
		err = cmp.Or(err, c.platformServer.Close())
	}
	_ = c.logger.Log("msg", "control replica stopped")
	err = cmp.Or(err, c.admin.Stop(ctx))
	c.run.End(err)
	return err
}
