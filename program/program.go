// Package program holds what the programs share: settings, start, stop and the
// admin listener. Each main parses its settings with Parse and runs an fx application
// with Run.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kong"
	kitlog "github.com/go-kit/log"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
)

// Version is the version of the programs; the build may set it.
var Version = "0.1.0-dev"

// Exit statuses.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// StopTimeout is the default bound of a graceful stop, in which open requests are finished.
// Daemons override it with Common.StopTimeout.
const StopTimeout = 2 * time.Minute

// StartTimeout bounds a start. A replica that loads its log from a slow disk needs its time: after
// a restart it would load the same log again.
const StartTimeout = time.Hour

// Checker is implemented by settings with rules that kong's tags cannot express.
type Checker interface {
	// Check returns an error that names the flag it concerns.
	Check() error
}

// Parse fills settings from arguments and environment. A bad setting ends the process
// with one line on standard error and status 2.
func Parse(name, description string, settings any) *kong.Context {
	parser := kong.Must(settings,
		kong.Name(name),
		kong.Description(description),
		kong.Vars{"version": name + " " + Version},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	ctx, err := parser.Parse(os.Args[1:])
	if err == nil {
		if c, ok := settings.(Checker); ok {
			err = c.Check()
		}
	}
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(ExitUsage)
	}
	return ctx
}

// Run runs an fx application until it is interrupted. Start errors end the process with
// one line and status 1.
func Run(name string, options ...fx.Option) {
	defaults := []fx.Option{
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(StartTimeout),
		fx.StopTimeout(StopTimeout),
	}
	app := fx.New(append(defaults, options...)...)
	if err := runApp(app); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", name, dig.RootCause(err))
		os.Exit(ExitFailure)
	}
}

func runApp(app *fx.App) error {
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return err
	}
	signal := <-app.Wait()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		return err
	}
	if signal.ExitCode != 0 {
		return fmt.Errorf("stopped with status %d", signal.ExitCode)
	}
	return nil
}

// SettingError reports an invalid value of a flag.
type SettingError struct {
	Flag string
	Err  error
}

// Error returns "--flag: cause".
func (e *SettingError) Error() string { return fmt.Sprintf("--%s: %v", e.Flag, e.Err) }

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// CheckAddress returns an error for a flag whose value is not "ip:port".
func CheckAddress(flag, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return &SettingError{Flag: flag, Err: err}
	}
	if net.ParseIP(host) == nil {
		return &SettingError{Flag: flag, Err: fmt.Errorf("%q is not an IP address", host)}
	}
	return nil
}

// CheckAddresses checks a list of addresses that must not be empty.
func CheckAddresses(flag string, values []string) error {
	if len(values) == 0 {
		return &SettingError{Flag: flag, Err: errors.New("at least one address is needed")}
	}
	for _, v := range values {
		if err := CheckAddress(flag, v); err != nil {
			return err
		}
	}
	return nil
}

// CheckAdvertised returns an error for a flag whose value is neither empty nor an "ip:port" that other
// processes can connect to.
func CheckAdvertised(flag, value string) error {
	if value == "" {
		return nil
	}
	if err := CheckAddress(flag, value); err != nil {
		return err
	}
	a, err := net.ResolveTCPAddr("tcp", value)
	if err != nil {
		return &SettingError{Flag: flag, Err: err}
	}
	if a.Port == 0 || a.IP.IsUnspecified() {
		return &SettingError{Flag: flag, Err: fmt.Errorf("other processes cannot connect to %q", value)}
	}
	return nil
}

// CheckFolder returns an error for a flag that does not name an existing folder.
func CheckFolder(flag, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return &SettingError{Flag: flag, Err: err}
	}
	if !info.IsDir() {
		return &SettingError{Flag: flag, Err: fmt.Errorf("%s is not a folder", path)}
	}
	return nil
}

// Common holds the settings of every daemon.
type Common struct {
	ID     string `help:"Name of this process, unique in the deployment." env:"TOUCAN_ID" required:""`
	Domain string `help:"Failure domain of this process." env:"TOUCAN_DOMAIN" required:""`
	// StopTimeout bounds a graceful stop; requests that are still open then are cut off.
	StopTimeout    time.Duration `help:"How long a stop waits for open requests." env:"TOUCAN_STOP_TIMEOUT" default:"2m"`
	MemoryLimit    MemoryLimit   `help:"Memory that the process may use, in bytes or with the suffix MB or MiB; 0 for no limit." env:"TOUCAN_MEMORY_LIMIT" default:"0"`
	AdminListen    string        `help:"Address of the admin listener, ip:port." env:"TOUCAN_ADMIN_LISTEN" default:"127.0.0.1:9090"`
	IntakeSettings `embed:""`
	Link           TLSSettings      `embed:"" prefix:"link-"`
	Version        kong.VersionFlag `help:"Print the version and exit."`
}

// Check checks the common settings.
func (c *Common) Check() error {
	if err := CheckAddress("admin-listen", c.AdminListen); err != nil {
		return err
	}
	if c.StopTimeout <= 0 {
		return &SettingError{Flag: "stop-timeout", Err: fmt.Errorf("%s is not above 0s", c.StopTimeout)}
	}
	if err := c.MemoryLimit.check(); err != nil {
		return err
	}
	if err := c.checkIntake(); err != nil {
		return err
	}
	return c.Link.Check()
}

// Instance returns the identity of the process with a fresh incarnation.
func (c *Common) Instance(role instance.Role) instance.Instance {
	return instance.Instance{
		ID:           instance.ID(c.ID),
		Role:         role,
		Domain:       failuredomain.ID(c.Domain),
		Incarnation:  instance.NewIncarnation(),
		AdminAddress: c.AdminListen,
	}
}

// NewLogger returns a logger that writes logfmt lines with time and process.
func NewLogger(w io.Writer, process string) kitlog.Logger {
	l := kitlog.NewLogfmtLogger(kitlog.NewSyncWriter(w))
	return kitlog.With(l, "ts", kitlog.DefaultTimestampUTC, "process", process)
}

// CheckPort returns an error for a flag whose value is neither 0 nor a port.
func CheckPort(flag string, port int) error {
	if port < 0 || port > math.MaxUint16 {
		return &SettingError{Flag: flag, Err: fmt.Errorf("%d is no port", port)}
	}
	return nil
}

// ReplacePorts replaces the port of each address, "ip:port"; port 0 leaves them unchanged.
func ReplacePorts(addresses []string, port int) []string {
	if port == 0 {
		return addresses
	}
	out := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err == nil {
			a = net.JoinHostPort(host, strconv.Itoa(port))
		}
		out = append(out, a)
	}
	return out
}
