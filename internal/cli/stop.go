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
		Description: "Writes a Stop record. The host takes no new work within seconds and finishes what it has; nothing\n" +
			"in flight is cut off. Wait for \"drained\" before you switch the host off. --undo takes the stop back.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "instance", Usage: "stop only this `INSTANCE` of the host"},
			&cli.StringFlag{Name: "reason", Usage: "`WHY`, for the operator who reads it at night"},
			&cli.BoolFlag{Name: "wait", Usage: "show the progress until the host is drained"},
			&cli.BoolFlag{Name: "progress", Usage: "only show the progress of a stop that stands"},
			&cli.BoolFlag{Name: "undo", Usage: "take the stop back"},
			&cli.BoolFlag{Name: "force", Usage: "stop even where a service would fall below its floor"},
			&cli.DurationFlag{Name: "timeout", Value: 2 * time.Minute, Usage: "how long to wait"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return &InvalidError{"write the name of one host, as `radishhoist status` shows it"}
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
		return a.progress(ctx, cmd, host)
	}
	if err := a.writeStop(ctx, cmd, host, key); err != nil {
		return err
	}
	if cmd.Bool("wait") {
		return a.progress(ctx, cmd, host)
	}
	a.say("`radishhoist stop --progress %s` shows when it is drained", host)
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
	// The same checks as for a file.
	r, err := record.Parse(value)
	if err != nil {
		return err
	}
	current, err := s.Get(ctx, key)
	var missing *objects.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	r.Version = current.Version
	return a.write(ctx, s, r, r.Version)
}

// checkFloor refuses a stop that would leave a service below its floor.
func checkFloor(ctx context.Context, cmd *cli.Command, host, instance string) error {
	var seen state.Status
	if err := adminGet(ctx, cmd.String("admin"), state.StatusPath, nil, &seen); err != nil {
		return &UnsafeError{fmt.Sprintf("cannot tell whether the floors would hold: %v; name a daemon with --admin, or add --force", err)}
	}
	for _, svc := range seen.Services {
		lost := usedSlots(svc, host, instance)
		if lost > 0 && svc.HealthySlots-lost < svc.RequiredSlots {
			return &UnsafeError{fmt.Sprintf("service %s would have %d slots in use, its floor is %d: start instances elsewhere or wait for others to come back first; --force stops all the same",
				svc.Name, svc.HealthySlots-lost, svc.RequiredSlots)}
		}
	}
	return nil
}

// usedSlots counts the slots in use that a stop would take away.
func usedSlots(svc front.ServiceStatus, host, instance string) int {
	slots := 0
	for _, t := range svc.Targets {
		if t.Host == host && t.Use == "used" && (instance == "" || t.Name == instance) {
			slots += t.Slots
		}
	}
	return slots
}

// progressInterval is the time between two looks at a stop.
const progressInterval = 500 * time.Millisecond

// progress shows how a stop goes on until nothing runs on the host.
func (a *app) progress(ctx context.Context, cmd *cli.Command, host string) error {
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
		line, drained := drainLine(&dump, cmd.String("instance"))
		if line != last {
			a.say("%s: %s", host, line)
			last = line
		}
		if drained {
			return nil
		}
		select {
		case <-time.After(progressInterval):
		case <-ctx.Done():
			return &UnsafeError{fmt.Sprintf("host %s is not drained yet: do not switch it off; look again with --progress", host)}
		}
	}
}

// drainLine says how far a host, or one instance of it, is drained.
func drainLine(dump *state.Dump, instance string) (string, bool) {
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
		return fmt.Sprintf("takes no new work; %d requests run, %d wait", running, queued), false
	default:
		return "drained: nothing runs on it", true
	}
}
