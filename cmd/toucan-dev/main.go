// Command toucan-dev runs a small but complete deployment in one process on the loopback interface.
package main

import (
	"context"
	"fmt"

	"go.uber.org/fx"

	"toucantiller.dev/dev"
	"toucantiller.dev/program"
)

func main() {
	var s dev.Settings
	program.Parse("toucan-dev", "Runs a whole small deployment in one process on loopback.", &s)
	program.Run("toucan-dev", fx.Supply(&s), fx.Provide(dev.New), fx.Invoke(register))
}

func register(lc fx.Lifecycle, d *dev.Deployment) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if err := d.Start(ctx); err != nil {
				return err
			}
			fmt.Println(d.Summary())
			return nil
		},
		OnStop: d.Stop,
	})
}
