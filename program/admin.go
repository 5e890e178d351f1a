package program

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"toucantiller.dev/telemetry"
	"toucantiller.dev/timeline"
)

const adminReadHeaderTimeout = 5 * time.Second

// Admin is the admin listener of a process.
type Admin struct {
	Telemetry *telemetry.Telemetry
	Timeline  *timeline.Recorder

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
	a.listener = l
	a.server = &http.Server{Handler: a.Telemetry.Handler(a.Timeline), ReadHeaderTimeout: adminReadHeaderTimeout}
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
