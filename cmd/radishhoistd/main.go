// Command radishhoistd is the process that runs on every target host.
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
	cmd := &cli.Command{
		Name:  "radishhoistd",
		Usage: "proxy daemon of one target host: front, guard and control",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` (INI)"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
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
		return fmt.Errorf("no settings: write -config FILE; -reference lists every key")
	}
	cfg, err := settings.Load(path)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		for _, warning := range cfg.Warnings {
			fmt.Println(path + ": warning: " + warning)
		}
		fmt.Println(path + ": the settings are good")
		return nil
	}
	return serve(path, cfg)
}

// ports picks what speaks to the platform that the settings name.
func ports(cfg *settings.Config) daemon.PlatformAdapter {
	if cfg.Adapter == platform.AdapterName {
		return daemon.PlatformAdapter{
			Store:           platform.NewStore(cfg.Platform, cfg.WatchWait, cfg.ServiceDefaults()),
			Dialect:         platform.Headers(),
			RequiredRecords: []record.Key{platform.ConfigurationKey},
		}
	}
	return daemon.OwnAdapter(cfg)
}

func serve(path string, cfg *settings.Config) error {
	level := &slog.LevelVar{}
	setLevel(level, cfg.LogLevel)
	lines := event.NewSink(os.Stdout)
	defer lines.Close()
	log := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level}))
	limitMemory(cfg.MemoryMB)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(cfg, ports(cfg), log)
	if err != nil {
		event.Log(log, event.StartFailed, slog.String("cause", err.Error()))
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	go d.WatchSettings(ctx, path, hangups, func(cfg *settings.Config) {
		limitMemory(cfg.MemoryMB)
		setLevel(level, cfg.LogLevel)
	})
	<-stop
	cancel()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGTERM)
	// A second interrupt from a terminal ends the process at once.
	signal.Stop(stop)
	if !d.Shutdown(again) {
		return fmt.Errorf("requests were still running at the drain timeout of %s", cfg.DrainTimeout)
	}
	return nil
}

// setLevel takes a level that the settings have accepted.
func setLevel(level *slog.LevelVar, name string) {
	if err := level.UnmarshalText([]byte(name)); err != nil {
		panic("radishhoistd: " + err.Error())
	}
}

// memoryShare is the part of the memory bound at which the garbage collector
// begins to work as hard as it must: the rest is for what it does not count,
// such as stacks and bytes that wait in sockets.
const memoryShare = 0.7

func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb<<20)))
	}
}
