// Package operator is the library behind toucanctl: the command line, the calls to the
// control replicas and what operators read.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"toucantiller.dev/control"
	"toucantiller.dev/program"
)

// Exit statuses of toucanctl.
const (
	ExitDone    = 0
	ExitRefused = 1
	ExitUsage   = 2
)

// ErrRefused is returned by commands whose change was refused, whose move was taken back
// or whose bundle has problems. The reason has been printed.
var ErrRefused = errors.New("refused")

// usageError marks errors that exit with status 2.
type usageError struct{ error }

// CLI is the grammar of toucanctl.
type CLI struct {
	Control     []string            `help:"Addresses of the control replicas, as ip:port." env:"TOUCAN_CONTROL" placeholder:"ADDR" group:"Connection"`
	Timeout     time.Duration       `help:"Time for a call, with its repeats." env:"TOUCAN_TIMEOUT" default:"15s" group:"Connection"`
	Link        program.TLSSettings `embed:"" prefix:"link-" group:"Connection"`
	Output      string              `help:"Output format: text or json." env:"TOUCAN_OUTPUT" enum:"text,json" default:"text" short:"o"`
	ShowVersion kong.VersionFlag    `name:"version" help:"Print the version and exit."`

	Bundle    bundleCommands  `cmd:"" help:"Check, validate, sign, apply and show bundles."`
	Move      moveCommands    `cmd:"" help:"Follow a move to a new version, or take it back."`
	Domain    domainCommands  `cmd:"" help:"Take failure domains out of service and back."`
	Replica   replicaCommands `cmd:"" help:"Show, add and remove control replicas."`
	Endpoints endpointsCmd    `cmd:"" help:"List the registered endpoints."`
	Duties    dutiesCmd       `cmd:"" help:"Show who makes the calls that one instance at a time makes, and how they go."`
	Timeline  timelineCmd     `cmd:"" help:"Show the events of all processes in one order."`
	Losses    lossesCmd       `cmd:"" help:"Say from gateways' logs for which reasons requests were late or not served."`
	Key       keyCommands     `cmd:"" help:"Generate keys."`
}

// signer is the part of the command line that names who makes a change.
type signer struct {
	Operator string `help:"Name of the operator in the bundle." env:"TOUCAN_OPERATOR" required:""`
	Key      string `help:"Private key file of the operator." env:"TOUCAN_KEY" type:"path" required:""`
}

// changer is a signer of a change that control remembers by its operation ID.
type changer struct {
	signer
	Operation string `help:"Repeat the change with this operation ID, after an outcome that was not known." env:"TOUCAN_OPERATION" placeholder:"ID"`
}

type bundleCommands struct {
	Check    bundleCheckCmd    `cmd:"" help:"Say what is wrong or has no effect in a configuration, and what differs from the version in force. Changes nothing."`
	Validate bundleValidateCmd `cmd:"" help:"Report every problem of a bundle with line, column and remedy."`
	Sign     bundleSignCmd     `cmd:"" help:"Sign the exact content of a bundle off."`
	Apply    bundleApplyCmd    `cmd:"" help:"Make a signed bundle the configuration."`
	Show     bundleShowCmd     `cmd:"" help:"Show the bundle in force."`
}

type moveCommands struct {
	Status moveStatusCmd `cmd:"" help:"Say in one line how each move stands."`
	Watch  moveWatchCmd  `cmd:"" help:"Follow a move until it is done or taken back."`
	Abort  moveAbortCmd  `cmd:"" help:"Take a running move back."`
}

type domainCommands struct {
	Drain   domainDrainCmd   `cmd:"" help:"Give a failure domain no new work."`
	Restore domainRestoreCmd `cmd:"" help:"Bring a failure domain back."`
	Status  domainStatusCmd  `cmd:"" help:"Show the state of the failure domains."`
}

type replicaCommands struct {
	Status replicaStatusCmd `cmd:"" help:"List the members of the control group."`
	Add    replicaAddCmd    `cmd:"" help:"Add a started replica with an empty data folder, also one whose disk was lost."`
	Remove replicaRemoveCmd `cmd:"" help:"Remove a replica from the control group."`
}

type keyCommands struct {
	Generate keyGenerateCmd `cmd:"" help:"Generate an operator's key pair, or a caller's bearer key."`
}

// Env is everything a session takes from outside, so that tests can replace it.
type Env struct {
	Stdout   io.Writer
	Stderr   io.Writer
	Terminal bool
	Now      func() time.Time
	NewID    func() string
	Sleep    func(context.Context, time.Duration) bool
	// Connect opens the connection to control; nil dials the addresses of the flags.
	Connect func(cli *CLI) (Control, error)
	HTTP    *http.Client
}

// OS returns the environment of the process.
func OS() Env {
	info, err := os.Stdout.Stat()
	return Env{
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Terminal: err == nil && info.Mode()&os.ModeCharDevice != 0,
		Now:      time.Now,
		NewID:    newOperationID,
		Sleep:    pause,
		HTTP:     &http.Client{Timeout: 5 * time.Second},
	}
}

// Main runs one command and returns the exit status.
func Main(ctx context.Context, args []string, env Env) (status int) {
	cli := &CLI{}
	exited := false
	parser, err := kong.New(cli,
		kong.Name("toucanctl"),
		kong.Description("Operates a toucantiller deployment: bundles, moves, failure domains, control replicas and the time line.\n\nExit status: 0 done, 1 refused or taken back or failed, 2 usage."),
		kong.Vars{"version": "toucanctl " + program.Version},
		kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(func(code int) { exited, status = true, code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: false}),
	)
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, "toucanctl:", err)
		return ExitUsage
	}
	parsed, err := parser.Parse(args)
	if exited {
		return status
	}
	if err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "toucanctl: %v; see toucanctl --help\n", err)
		return ExitUsage
	}
	if err := cli.Link.Check(); err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "toucanctl: %v; see toucanctl --help\n", err)
		return ExitUsage
	}
	s := &session{Env: env, cli: cli, ctx: ctx}
	defer s.close()
	return s.exit(parsed.Run(s))
}

// session is one run of a command.
type session struct {
	Env
	cli     *CLI
	ctx     context.Context
	control Control
}

func (s *session) exit(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(s.Stderr, "toucanctl: %v\n", err)
		return ExitUsage
	case errors.Is(err, ErrRefused):
		return ExitRefused
	default:
		_, _ = fmt.Fprintf(s.Stderr, "toucanctl: %v\n", err)
		return ExitRefused
	}
}

// connect opens the connection to control once.
func (s *session) connect() (Control, error) {
	if s.control != nil {
		return s.control, nil
	}
	if s.Connect != nil {
		c, err := s.Connect(s.cli)
		s.control = c
		return c, err
	}
	if len(s.cli.Control) == 0 {
		return nil, usageError{ErrNoReplica}
	}
	network, err := s.cli.Link.Network()
	if err != nil {
		return nil, usageError{err}
	}
	s.control = control.NewClient(network, s.cli.Control)
	return s.control, nil
}

func (s *session) close() {
	if c, ok := s.control.(*control.Client); ok {
		c.Close()
	}
}

// timeout bounds one call to control.
func (s *session) timeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.cli.Timeout)
}
