// Command radishhoist is the command line for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/radishhoist/radishhoist/internal/cli"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/settings"
	"github.com/radishhoist/radishhoist/platform"
)

// watchWait is needed to create a store, but has no effect: the command line does not watch
// the platform.
const watchWait = time.Second

// adapters are those for platforms other than the project's own. The command line only
// reads Configurations from these platforms, so the default settings suffice for the
// services that they define.
var adapters = cli.Adapters{
	platform.AdapterName: func(url string) objects.Store {
		return platform.NewStore(url, watchWait, settings.Default().ServiceDefaults())
	},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := cli.New(os.Stdin, os.Stdout, adapters).Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "radishhoist:", err)
	}
	os.Exit(cli.ExitCode(err))
}
