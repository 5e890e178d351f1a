// Command toucanctl is the operator's command line of a toucantiller deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"toucantiller.dev/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := operator.Main(ctx, os.Args[1:], operator.OS())
	stop()
	os.Exit(status)
}
