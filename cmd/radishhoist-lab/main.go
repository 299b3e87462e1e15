// Command radishhoist-lab has the development tools: stand-ins for the platform and for
// targets, a demo, a load generator, benchmarks and fault tests. Hosts do not need it.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/experiment"
	"github.com/radishhoist/radishhoist/internal/lab"
	"github.com/radishhoist/radishhoist/internal/port"
	"github.com/radishhoist/radishhoist/internal/soak"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
	"github.com/radishhoist/radishhoist/internal/standin/target"
)

func main() {
	// SIGPIPE is left out: it also comes from writes to connections that were reset, which
	// ended stand-ins. Without it, a closed output ends the process, and the kernel its children.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	cmd := &cli.Command{
		Name:     "radishhoist-lab",
		Usage:    "stand-ins, demo, load generator and measurements for development",
		Commands: []*cli.Command{platformCommand(), targetCommand(), demoCommand(), loadCommand(), benchCommand(), grayCommand(), capacityCommand(), reserveCommand(), takeoverCommand(), soakCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "radishhoist-lab:", err)
		os.Exit(1)
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in for the platform's object API",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "`ADDRESS` to listen on"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			l, err := port.Listen("the platform stand-in", cmd.String("listen"))
			if err != nil {
				return err
			}
			server := &http.Server{Handler: platformd.NewServer().Handler(), ReadHeaderTimeout: 5 * time.Second}
			go func() {
				<-ctx.Done()
				_ = server.Close()
			}()
			if err := server.Serve(l); err != http.ErrServerClosed {
				return err
			}
			return nil
		},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a stand-in for one target instance",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true, Usage: "instance `NAME`"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "service `NAME`"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on"},
			&cli.StringFlag{Name: "announce", Required: true, Usage: "the daemon's announce `ADDRESS`"},
			&cli.IntFlag{Name: "slots", Value: 7, Usage: "number of requests that run concurrently"},
			&cli.DurationFlag{Name: "service-time", Value: 10 * time.Millisecond, Usage: "median service `TIME` of a request"},
			&cli.FloatFlag{Name: "spread", Value: 0.3, Usage: "standard deviation of the logarithm of the service time"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := target.Start(target.Config{
				Name: cmd.String("name"), Service: cmd.String("service"), Address: cmd.String("listen"),
				Announce: cmd.String("announce"), Slots: cmd.Int("slots"),
				ServiceTime: cmd.Duration("service-time"), Spread: cmd.Float("spread"),
			})
			if err != nil {
				return err
			}
			<-ctx.Done()
			s.Stop()
			return nil
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run platform, targets and daemons as processes, send traffic and inject a gray failure into a target",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIRECTORY` of the built programs"},
			&cli.IntFlag{Name: "net", Usage: "third `NUMBER` of the loopback addresses, 0 to 255"},
			&cli.BoolFlag{Name: "verbose", Usage: "show the processes' logs"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return lab.Demo(ctx, os.Stdout, lab.DemoConfig{Bin: cmd.String("bin"), AddressOctet: cmd.Int("net"), Verbose: cmd.Bool("verbose")})
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests to loopback addresses at a fixed rate and report the latencies",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "to", Required: true, Usage: "`URL` on a loopback address; several are used in turn"},
			&cli.StringFlag{Name: "method", Value: "GET", Usage: "HTTP `METHOD`"},
			&cli.IntFlag{Name: "rate", Value: 100, Usage: "requests per second"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "`TIME` to run, at most 10 minutes"},
			&cli.IntFlag{Name: "body", Usage: "size of the request body in bytes"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			r, err := lab.Load(ctx, lab.LoadConfig{
				URLs: cmd.StringSlice("to"), Method: cmd.String("method"),
				Rate: cmd.Int("rate"), Duration: cmd.Duration("for"), BodyBytes: cmd.Int("body"),
			})
			if err != nil {
				return err
			}
			fmt.Print(r.String())
			return nil
		},
	}
}

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure the overhead of front and guard per request, compared with calling the target directly",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIRECTORY` of the built programs"},
			&cli.IntSliceFlag{Name: "rate", Value: []int{500, 2000, 4000}, Usage: "requests per second; several rates are measured in turn"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return lab.Bench(ctx, os.Stdout, cmd.String("bin"), cmd.IntSlice("rate"))
		},
	}
}

func grayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gray",
		Usage: "measure detection, ejection and load control in virtual time and compare them with baselines",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "runs per case"},
			&cli.IntFlag{Name: "first", Value: experiment.FirstHeldOutSeed, Usage: "first seed; those from the default on are never used for tuning"},
			&cli.FloatFlag{Name: "noise-hours", Value: 2000, Usage: "length of the noise run in instance-hours"},
			&cli.BoolFlag{Name: "recovery", Usage: "only list the failures that remain long after a load spike"},
			&cli.BoolFlag{Name: "ours", Usage: "omit the baselines"},
			&cli.BoolFlag{Name: "large", Usage: "add the runs at the target fleet size"},
			&cli.StringFlag{Name: "svg", Usage: "write a plot to `FILE`"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			options := experiment.Options{
				Seeds: cmd.Int("seeds"), FirstSeed: uint64(cmd.Int("first")),
				NoiseInstanceHours: cmd.Float("noise-hours"), LargeSite: cmd.Bool("large"), OmitBaselines: cmd.Bool("ours"),
			}
			if cmd.Bool("recovery") {
				experiment.ReportRecovery(os.Stdout, options)
				return nil
			}
			results := experiment.ReportAll(os.Stdout, options)
			if path := cmd.String("svg"); path != "" {
				return os.WriteFile(path, []byte(experiment.SVG(results)), 0o644)
			}
			return nil
		},
	}
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how resource use grows with the fleet, for docs/CAPACITY.md",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIRECTORY` of the built programs"},
			&cli.IntSliceFlag{Name: "daemons", Value: []int{10, 40, 100}, Usage: "numbers of daemon processes to measure with"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return lab.Capacity(ctx, os.Stdout, cmd.String("bin"), cmd.IntSlice("daemons"))
		},
	}
}

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run a fleet of real processes with seeded fault injection and check its invariants",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIRECTORY` of the built programs"},
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after the other"},
			&cli.IntFlag{Name: "hosts", Value: 9, Usage: "hosts, each with a daemon and an instance, at most 90"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "`TIME` to run per seed; the last 8 s are without faults"},
			&cli.IntFlag{Name: "net", Value: 77, Usage: "third `NUMBER` of the loopback addresses"},
			&cli.StringFlag{Name: "logs", Usage: "`DIRECTORY` for the logs of seeds that violate an invariant"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return soak.RunSeeds(ctx, os.Stdout, soak.Config{
				Bin: cmd.String("bin"), Seed: uint64(cmd.Int("seed")), Hosts: cmd.Int("hosts"), Duration: cmd.Duration("for"), NetOctet: cmd.Int("net"),
			}, cmd.Int("seeds"), cmd.String("logs"))
		},
	}
}

func reserveCommand() *cli.Command {
	return &cli.Command{
		Name:  "reserve",
		Usage: "compare reserve-then-run with one-step sending under a one-way network partition",
		Action: func(context.Context, *cli.Command) error {
			experiment.ReportReserve(os.Stdout)
			return nil
		},
	}
}

func takeoverCommand() *cli.Command {
	return &cli.Command{
		Name:  "takeover",
		Usage: "measure how many new idempotency keys are refused when the owner of key shards is killed, frozen or drained",
		Flags: []cli.Flag{&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIRECTORY` of the built programs"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return lab.Takeover(ctx, os.Stdout, cmd.String("bin"))
		},
	}
}
