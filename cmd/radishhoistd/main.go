// Command radishhoistd is the proxy daemon that runs on every target host.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/daemon"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/settings"
	"github.com/radishhoist/radishhoist/platform"
	"github.com/radishhoist/radishhoist/record"
)

func main() {
	settings.Adapters = append(settings.Adapters, platform.AdapterName)
	settings.OverloadTerms[platform.AdapterName] = platform.OverloadTerm
	cmd := &cli.Command{
		Name:  "radishhoistd",
		Usage: "proxy daemon of one target host: front, guard and control",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` (INI)"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"},
			&cli.BoolFlag{Name: "reference", Usage: "print every settings key and exit"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "radishhoistd:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	if cmd.Bool("reference") {
		fmt.Print(settings.Reference())
		return nil
	}
	path := cmd.String("config")
	if path == "" {
		return fmt.Errorf("no settings file: use -config FILE; -reference lists every key")
	}
	// The settings may change while they are read or the daemon starts. The signal of that
	// must not end the process, and is handled after the start.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	cfg, err := settings.Load(path)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		for _, warning := range cfg.Warnings {
			fmt.Println(path + ": warning: " + warning)
		}
		fmt.Println(path + ": the settings are valid")
		return nil
	}
	return serve(path, cfg, reloadSignals)
}

// platformAdapter returns the store, header names and required records of the platform
// adapter that the settings select.
func platformAdapter(cfg *settings.Config) daemon.PlatformAdapter {
	if cfg.Adapter == platform.AdapterName {
		return daemon.PlatformAdapter{
			Store:           platform.NewStore(cfg.Platform, cfg.WatchWait, cfg.ServiceDefaults()),
			Dialect:         platform.Headers(),
			RequiredRecords: []record.Key{platform.ConfigurationKey},
		}
	}
	return daemon.OwnAdapter(cfg)
}

func serve(path string, cfg *settings.Config, reloadSignals <-chan os.Signal) error {
	level := &slog.LevelVar{}
	setLevel(level, cfg.LogLevel)
	sink := event.NewSink(os.Stdout)
	defer sink.Close()
	log := slog.New(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level}))
	limitMemory(cfg.MemoryMB)
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(cfg, platformAdapter(cfg), log)
	if err != nil {
		event.Log(log, event.StartFailed, slog.String("cause", err.Error()))
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go d.WatchSettings(ctx, path, reloadSignals, func(cfg *settings.Config) {
		limitMemory(cfg.MemoryMB)
		setLevel(level, cfg.LogLevel)
	})
	<-stopSignals
	cancel()
	// A further SIGTERM must not end the process while it drains.
	repeatedStops := make(chan os.Signal, 1)
	signal.Notify(repeatedStops, syscall.SIGTERM)
	// Restore the default action of SIGINT: a second interrupt from a terminal ends the
	// process at once.
	signal.Stop(stopSignals)
	if !d.Shutdown(repeatedStops) {
		return fmt.Errorf("requests were still running at the drain timeout of %s", cfg.DrainTimeout)
	}
	return nil
}

// setLevel sets the log level. The name has been validated with the settings.
func setLevel(level *slog.LevelVar, name string) {
	if err := level.UnmarshalText([]byte(name)); err != nil {
		panic("radishhoistd: " + err.Error())
	}
}

// memoryLimitFraction is the fraction of the configured memory that is set as the soft limit
// of the garbage collector, above which it collects as often as necessary. The rest is for
// memory that the limit does not count: the program itself, some 15 MB, and what the kernel
// holds unread on the connections, up to 64 KB on each of three for each MB.
const memoryLimitFraction = 0.6

func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(mb<<20)))
	}
}
