package program

import (
	"cmp"
	"context"

	kitlog "github.com/go-kit/log"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/control/decider"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

// ControlSettings are the settings of a control replica.
type ControlSettings struct {
	Common    `embed:""`
	Listen    string   `help:"Address for other processes and operators, ip:port." env:"TOUCAN_LISTEN" default:"127.0.0.1:7100"`
	Advertise string   `help:"Address at which other processes reach this one, ip:port, if not --listen." env:"TOUCAN_ADVERTISE"`
	Data      string   `help:"Folder for the replica's state; it must exist." env:"TOUCAN_DATA" required:"" type:"path"`
	Members   []string `help:"Addresses of all replicas including this one, ip:port, comma separated." env:"TOUCAN_MEMBERS" required:""`
}

// Check checks the settings.
func (s *ControlSettings) Check() error {
	return cmp.Or(
		s.Common.Check(),
		CheckAddress("listen", s.Listen),
		CheckAdvertised("advertise", s.Advertise),
		CheckFolder("data", s.Data),
		CheckAddresses("members", s.Members),
	)
}

// address is the replica's address in the group.
func (s *ControlSettings) address() string { return cmp.Or(s.Advertise, s.Listen) }

// Control is a running control replica.
type Control struct {
	settings *ControlSettings
	logger   kitlog.Logger
	admin    *Admin
	network  link.Network
	server   *control.Server
	failed   chan struct{}
}

// NewControl builds a replica.
func NewControl(s *ControlSettings, network link.Network, logger kitlog.Logger) (*Control, error) {
	admin, err := NewAdmin(s.ID)
	if err != nil {
		return nil, err
	}
	return &Control{settings: s, logger: logger, admin: admin, network: network, failed: make(chan struct{})}, nil
}

// Start opens the log and serves.
func (c *Control) Start(ctx context.Context) error {
	if err := c.admin.Start(c.settings.AdminListen); err != nil {
		return err
	}
	self := c.settings.Instance(instance.RoleControl)
	self.LinkAddress = c.settings.address()
	self.AdminAddress = c.admin.Address()
	server, err := control.New(control.Options{
		Self:       self,
		Listen:     c.settings.Listen,
		Network:    c.network,
		NewDecider: func(m api.Move) control.Decider { return decider.New(m) },
		OpenLog:    control.ReplicaLog(c.logOptions()),
		Recorder:   c.admin.Timeline,
		Meter:      c.admin.Telemetry.Meter("toucantiller.dev/control"),
		Logger:     c.logger,
	})
	if err != nil {
		return err
	}
	if err := server.Start(ctx); err != nil {
		return err
	}
	c.server = server
	c.admin.Telemetry.SetReady(true)
	go c.watch()
	_ = c.logger.Log("msg", "control replica started", "listen", c.settings.Listen)
	return nil
}

func (c *Control) logOptions() control.ReplicaOptions {
	return control.ReplicaOptions{
		DataFolder: c.settings.Data,
		Address:    c.settings.address(),
		Members:    c.settings.Members,
		Network:    c.network,
		Logger:     c.logger,
	}
}

// Failed is closed when the replica has stopped by itself, for example because its disk
// failed.
func (c *Control) Failed() <-chan struct{} { return c.failed }

// watch reports a replica that stops by itself.
func (c *Control) watch() {
	<-c.server.Done()
	if err := c.server.Err(); err != nil {
		c.admin.Telemetry.SetReady(false)
		_ = c.logger.Log("msg", "control replica failed", "err", err)
		close(c.failed)
	}
}

// Stop ends the replica.
func (c *Control) Stop(ctx context.Context) error {
	c.admin.Telemetry.SetReady(false)
	err := c.server.Stop(ctx)
	_ = c.logger.Log("msg", "control replica stopped")
	return cmp.Or(err, c.admin.Stop(ctx))
}
