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
		fx.Invoke(func(lc fx.Lifecycle, p P) {
			lc.Append(fx.Hook{OnStart: p.Start, OnStop: p.Stop})
		}),
	)
}
