package program

import (
	"context"
	"os"
	"os/signal"
	"syscall"

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
		fx.StopTimeout(common.StopTimeout),
		fx.Provide(
			common.Link.Network,
			func() *LogWriter { return NewLogWriter(os.Stdout) },
			func(w *LogWriter) kitlog.Logger { return NewLogger(w, common.ID) },
			build,
		),
		fx.Invoke(flushAtEnd, logReloads),
		fx.Invoke(func(lc fx.Lifecycle, shutdown fx.Shutdowner, p P) {
			lc.Append(fx.Hook{OnStart: p.Start, OnStop: p.Stop})
			if f, ok := any(p).(failing); ok {
				go stopOnFailure(f, shutdown)
			}
		}),
	)
}

// flushAtEnd writes the last lines of the log before the program ends. It is invoked
// first, so that its hook stops last.
func flushAtEnd(lc fx.Lifecycle, w *LogWriter) {
	lc.Append(fx.StopHook(w.Flush))
}

// logReloads keeps SIGHUP from ending the process. Flags and environment are read at the
// start only, so there is nothing to take over while serving.
func logReloads(lc fx.Lifecycle, logger kitlog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			_ = logger.Log("msg", "reload requested", "outcome", "settings take effect at the next start")
		}
	}()
	lc.Append(fx.StopHook(func() {
		signal.Stop(hangups)
		close(hangups)
	}))
}
