// Command radishhoist is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/radishhoist/radishhoist/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := cli.New(os.Stdin, os.Stdout).Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "radishhoist:", err)
	}
	os.Exit(cli.ExitCode(err))
}
