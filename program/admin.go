package program

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"toucantiller.dev/intake"
	"toucantiller.dev/telemetry"
	"toucantiller.dev/timeline"
)

// Timeouts of connections to the admin listener.
const (
	adminReadHeaderTimeout = 5 * time.Second
	adminIdleTimeout       = 2 * time.Minute
)

// Admin is the admin listener of a process.
type Admin struct {
	Telemetry *telemetry.Telemetry
	Timeline  *timeline.Recorder

	// account accounts for the connections; nil if nothing does.
	account  *intake.Account
	server   *http.Server
	listener net.Listener
}

// NewAdmin returns the admin listener of a process, with its metrics and time line. It does
// not listen before Start.
func NewAdmin(process string) (*Admin, error) {
	t, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	return &Admin{Telemetry: t, Timeline: timeline.NewRecorder(process, nil, 0)}, nil
}

// Start listens on the address; an empty one disables the listener.
func (a *Admin) Start(address string) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return &SettingError{Flag: "admin-listen", Err: err}
	}
	if a.account != nil {
		l = a.account.Listen(l, intake.Options{Name: "admin", PlaceShare: adminShare, Heads: true, AnswerTimeout: answerTimeout})
	}
	a.listener = l
	a.server = &http.Server{
		Handler: intake.Handler(a.Telemetry.Handler(a.Timeline)), ReadHeaderTimeout: adminReadHeaderTimeout, MaxHeaderBytes: intake.DefaultMaxHead, IdleTimeout: adminIdleTimeout,
		ConnState: intake.Observe, ConnContext: intake.ConnContext,
	}
	go func() {
		if err := a.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			a.Telemetry.SetReady(false)
		}
	}()
	return nil
}

// Address returns the address of the listener, or "" if there is none.
func (a *Admin) Address() string {
	if a.listener == nil {
		return ""
	}
	return a.listener.Addr().String()
}

// Stop closes the listener and waits for open requests until ctx ends.
func (a *Admin) Stop(ctx context.Context) error {
	if a.server == nil {
		return nil
	}
	return a.server.Shutdown(ctx)
}
