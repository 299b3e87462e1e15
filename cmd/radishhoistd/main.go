// Command radishhoistd is the process that runs on every target host.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/daemon"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/settings"
)

func main() {
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
		fmt.Println(path + ": the settings are good")
		return nil
	}
	return serve(cfg)
}

func serve(cfg *settings.Config) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(cfg.LogLevel)); err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(cfg, log)
	if err != nil {
		event.Log(log, event.StartFailed, slog.String("cause", err.Error()))
		return err
	}
	<-stop
	if !d.Shutdown() {
		return fmt.Errorf("requests were still running at the drain timeout of %s", cfg.DrainTimeout)
	}
	return nil
}
