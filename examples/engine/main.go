// Command engine serves a fake model engine or plain service, so that agents can be
// tried without a real engine.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"

	"toucantiller.dev/fake"
	"toucantiller.dev/program"
)

const readHeaderTimeout = 5 * time.Second

type settings struct {
	Listen      string        `help:"Address, ip:port." env:"TOUCAN_LISTEN" required:""`
	Kind        string        `help:"What to serve: model or plain." env:"TOUCAN_KIND" enum:"model,plain" default:"model"`
	Name        string        `help:"Name that appears in answers." env:"TOUCAN_NAME" default:"engine"`
	PrefillRate float64       `help:"Prompt tokens per second." env:"TOUCAN_PREFILL_RATE" default:"20000"`
	DecodeRate  float64       `help:"Answer tokens per second of one request." env:"TOUCAN_DECODE_RATE" default:"400"`
	Batch       int           `help:"Requests that run at full speed." env:"TOUCAN_BATCH" default:"16"`
	FailShare   float64       `help:"Share of requests answered with status 500, 0 to 1." env:"TOUCAN_FAIL_SHARE" default:"0"`
	Delay       time.Duration `help:"Time that a plain call takes." env:"TOUCAN_DELAY" default:"2ms"`
}

// Check reports an invalid listen address.
func (s *settings) Check() error { return program.CheckAddress("listen", s.Listen) }

func (s *settings) handler() http.Handler {
	if s.Kind == "plain" {
		return fake.NewPlain(s.Name, s.Delay)
	}
	return fake.NewModel(s.Name, fake.Behaviour{PrefillRate: s.PrefillRate, DecodeRate: s.DecodeRate, Batch: s.Batch, FailShare: s.FailShare})
}

func main() {
	var s settings
	program.Parse("engine", "Serves a fake model engine or plain service.", &s)
	program.Run("engine", fx.Supply(&s), fx.Invoke(serve))
}

func serve(lc fx.Lifecycle, s *settings) {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", s.Listen)
			if err != nil {
				return &program.SettingError{Flag: "listen", Err: err}
			}
			go func() {
				if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					fmt.Println(err)
				}
			}()
			return nil
		},
		OnStop: server.Shutdown,
	})
}
