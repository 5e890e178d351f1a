package program

import (
	"context"
	"os"

	kitlog "github.com/go-kit/log"
	"go.uber.org/fx"

	"toucantiller.dev/link"
)

// Process is a part with a start and a graceful stop.
type Process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// failing is a process that may stop by itself.
type failing interface{ Failed() <-chan struct{} }

// stopOnFailure ends the program with status 1 when its process has failed.
func stopOnFailure(f failing, shutdown fx.Shutdowner) {
	<-f.Failed()
	_ = shutdown.Shutdown(fx.ExitCode(ExitFailure)) // fails only when the program already stops
}

// Module returns the fx options of one daemon: its settings, network and logger, and
// the process that build makes of them.
func Module[S any, P Process](settings S, common *Common, build func(S, link.Network, kitlog.Logger) (P, error)) fx.Option {
	return fx.Options(
		fx.Supply(settings),
		fx.Provide(
			common.Link.Network,
			func() kitlog.Logger { return NewLogger(os.Stderr, common.ID) },
			build,
		),
		fx.Invoke(func(lc fx.Lifecycle, shutdown fx.Shutdowner, p P) {
			lc.Append(fx.Hook{OnStart: p.Start, OnStop: p.Stop})
			if f, ok := any(p).(failing); ok {
				go stopOnFailure(f, shutdown)
			}
		}),
	)
}
