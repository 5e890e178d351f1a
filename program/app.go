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

// Process is a daemon that fx starts and stops gracefully.
type Process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// failureNotifier is implemented by a process that can fail while running. Failed is closed
// when it has failed.
type failureNotifier interface{ Failed() <-chan struct{} }

// stopOnFailure shuts the program down with status 1 once its process has failed.
func stopOnFailure(f failureNotifier, shutdown fx.Shutdowner) {
	<-f.Failed()
	_ = shutdown.Shutdown(fx.ExitCode(ExitFailure)) // fails only when the program already stops
}

// Module returns the fx options of one daemon: its settings, network and logger, and
// the process that build constructs from them.
func Module[S any, P Process](settings S, common *Common, build func(S, link.Network, kitlog.Logger) (P, error)) fx.Option {
	return fx.Options(
		fx.Supply(settings),
		fx.StartTimeout(StartTimeout),
		fx.StopTimeout(common.StopTimeout),
		fx.Provide(
			common.Link.Network,
			func() *LogWriter { return NewLogWriter(os.Stdout) },
			func(w *LogWriter) kitlog.Logger { return NewLogger(w, common.ID) },
			build,
		),
		fx.Invoke(flushLogOnStop, handleSIGHUP),
		fx.Invoke(func(lc fx.Lifecycle, shutdown fx.Shutdowner, p P) {
			lc.Append(fx.Hook{OnStart: p.Start, OnStop: p.Stop})
			if f, ok := any(p).(failureNotifier); ok {
				go stopOnFailure(f, shutdown)
			}
		}),
	)
}

// flushLogOnStop flushes the log before the program ends. It is invoked first because fx
// runs stop hooks in reverse order, so its hook runs last.
func flushLogOnStop(lc fx.Lifecycle, w *LogWriter) {
	lc.Append(fx.StopHook(w.Flush))
}

// handleSIGHUP logs SIGHUP instead of letting it end the process. Flags and environment are
// read only at the start, so there is nothing to reload.
func handleSIGHUP(lc fx.Lifecycle, logger kitlog.Logger) {
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
