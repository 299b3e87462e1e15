// Command radishhoist is the operators' command line.
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

// watchWait bounds a watch; the command line makes none.
const watchWait = time.Second

// adapters are the platforms beside the product's own. Configurations are only
// read there, so that services need no defaults of their own.
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
