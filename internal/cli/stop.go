package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/front"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/state"
	"github.com/radishhoist/radishhoist/record"
)

func (a *app) stopCommand() *cli.Command {
	return &cli.Command{
		Name: "stop", Usage: "drain a host or one instance for a planned stop", ArgsUsage: "HOST",
		Description: "Writes a Stop record. Within seconds the host takes no new requests; it finishes those that are\n" +
			"queued or running. Wait for \"drained\" before you switch the host off. --undo deletes the record.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "instance", Usage: "stop only this `INSTANCE` of the host"},
			&cli.StringFlag{Name: "reason", Usage: "`REASON`, shown to other operators"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the host is drained and show the progress"},
			&cli.BoolFlag{Name: "progress", Usage: "only wait for an existing stop and show its progress"},
			&cli.BoolFlag{Name: "undo", Usage: "delete the Stop record"},
			&cli.BoolFlag{Name: "force", Usage: "stop even if a service would fall below its floor"},
			&cli.DurationFlag{Name: "timeout", Value: 2 * time.Minute, Usage: "how long to wait until the host is drained"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return &InvalidError{"expected the name of one host, as shown by `radishhoist status`"}
			}
			return a.stop(ctx, cmd, cmd.Args().First())
		},
	}
}

func stopKey(host, instance string) record.Key {
	name := host
	if instance != "" {
		name += "." + instance
	}
	return record.Key{Kind: record.KindStop, Name: name}
}

func (a *app) stop(ctx context.Context, cmd *cli.Command, host string) error {
	key := stopKey(host, cmd.String("instance"))
	switch {
	case cmd.Bool("undo"):
		return a.delete(ctx, cmd, key)
	case cmd.Bool("progress"):
		return a.awaitDrained(ctx, cmd, host)
	}
	if err := a.writeStop(ctx, cmd, host, key); err != nil {
		return err
	}
	if cmd.Bool("wait") {
		return a.awaitDrained(ctx, cmd, host)
	}
	a.printLine("`radishhoist stop --progress %s` shows when it is drained", host)
	return nil
}

func (a *app) writeStop(ctx context.Context, cmd *cli.Command, host string, key record.Key) error {
	s := a.store(cmd)
	if _, err := s.Get(ctx, record.Key{Kind: record.KindHost, Name: host}); err != nil {
		return errors.Wrapf(err, "host %s", host)
	}
	if !cmd.Bool("force") {
		if err := checkFloor(ctx, cmd, host, cmd.String("instance")); err != nil {
			return err
		}
	}
	spec := &record.Stop{Host: host, Instance: cmd.String("instance"), Reason: cmd.String("reason")}
	value, err := record.Marshal(key, spec)
	if err != nil {
		return err
	}
	// Parse applies the same checks as to a record from a file.
	r, err := record.Parse(value)
	if err != nil {
		return err
	}
	current, err := s.Get(ctx, key)
	var notFound *objects.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	r.Version = current.Version
	return a.write(ctx, s, r, r.Version)
}

// checkFloor returns an UnsafeError if the stop would leave a service below its floor, or
// if the daemon does not respond.
func checkFloor(ctx context.Context, cmd *cli.Command, host, instance string) error {
	var seen state.Status
	if err := adminGet(ctx, cmd.String("admin"), state.StatusPath, nil, &seen); err != nil {
		return &UnsafeError{fmt.Sprintf("cannot check the floors: %v; select another daemon with --admin, or use --force", err)}
	}
	for _, svc := range seen.Services {
		lost := usedSlots(svc, host, instance)
		if lost > 0 && svc.HealthySlots-lost < svc.RequiredSlots {
			return &UnsafeError{fmt.Sprintf("service %s would have %d slots in use, below its floor of %d: start instances elsewhere or wait until others recover; --force stops it anyway",
				svc.Name, svc.HealthySlots-lost, svc.RequiredSlots)}
		}
	}
	return nil
}

// usedSlots counts the slots in use that a stop would remove.
func usedSlots(svc front.ServiceStatus, host, instance string) int {
	slots := 0
	for _, t := range svc.Targets {
		if t.Host == host && t.Use == "used" && (instance == "" || t.Name == instance) {
			slots += t.Slots
		}
	}
	return slots
}

// drainPollInterval is the interval at which the state of a draining host is read.
const drainPollInterval = 500 * time.Millisecond

// awaitDrained prints the progress of a stop until the host, or the one instance, is drained.
func (a *app) awaitDrained(ctx context.Context, cmd *cli.Command, host string) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	addr, err := a.adminAddress(ctx, cmd, host)
	if err != nil {
		return err
	}
	last := ""
	for {
		var dump state.Dump
		if err := adminGet(ctx, addr, state.StatePath, nil, &dump); err != nil {
			return err
		}
		line, drained := drainProgress(&dump, cmd.String("instance"))
		if line != last {
			a.printLine("%s: %s", host, line)
			last = line
		}
		if drained {
			return nil
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return &UnsafeError{fmt.Sprintf("host %s is not drained yet: do not switch it off; check again with --progress", host)}
		}
	}
}

// drainProgress describes how far a host, or one instance of it, is drained, and reports
// whether it is.
func drainProgress(dump *state.Dump, instance string) (string, bool) {
	running, queued, leaving := 0, 0, true
	for _, i := range dump.Instances {
		if instance != "" && i.Name != instance {
			continue
		}
		running += i.Running
		queued += i.Queued
		leaving = leaving && i.Leaving
	}
	switch {
	case !leaving:
		return "the stop is not in force on the host yet", false
	case running+queued > 0:
		return fmt.Sprintf("takes no new requests; %d running, %d queued", running, queued), false
	default:
		return "drained: no requests are running or queued", true
	}
}
