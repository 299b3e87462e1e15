package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

func (a *app) applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "write records from a file", ArgsUsage: " ",
		Description: "A record with \"version\" is written only if that version still stands, else the other operator's\n" +
			"change is shown and nothing is written. A record without it is created; where one stands already,\n" +
			"the differences are shown and --replace is needed.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "`FILE` of one or more JSON records, - for standard input"},
			&cli.BoolFlag{Name: "dry-run", Usage: "check and show what would change, write nothing"},
			&cli.BoolFlag{Name: "replace", Usage: "replace what stands, whatever its version"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			records, err := a.readRecords(cmd.String("file"))
			if err != nil {
				return err
			}
			s := a.store(cmd)
			for _, r := range records {
				if err := a.apply(ctx, s, r, cmd.Bool("replace"), cmd.Bool("dry-run")); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// readRecords reads and checks every record of a file before any is written.
func (a *app) readRecords(path string) ([]*record.Record, error) {
	in := a.in
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, &InvalidError{err.Error()}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	var out []*record.Record
	dec := json.NewDecoder(in)
	for n := 1; ; n++ {
		var raw json.RawMessage
		err := dec.Decode(&raw)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, &InvalidError{fmt.Sprintf("%s: record %d is not JSON: %v", path, n, err)}
		}
		r, err := record.Parse(raw)
		if err != nil {
			return nil, &InvalidError{fmt.Sprintf("%s: record %d: %v", path, n, err)}
		}
		out = append(out, r)
	}
	if len(out) == 0 {
		return nil, &InvalidError{path + ": holds no record; see docs/operate/records.md for examples"}
	}
	return out, nil
}

// apply writes one record on the condition that fits it.
func (a *app) apply(ctx context.Context, s objects.Store, r *record.Record, replace, dryRun bool) error {
	current, err := s.Get(ctx, r.Key)
	var missing *objects.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	ifVersion := r.Version
	if replace {
		ifVersion = current.Version
	}
	changes, err := diffRecord(current.Value, r)
	if err != nil {
		return err
	}
	if current.Version != 0 && len(changes) == 0 {
		a.say("%s stands as written, at version %d", r.Key, current.Version)
		return nil
	}
	a.showChanges(r.Key, current.Version, changes)
	if current.Version != ifVersion {
		return a.conflict(r, current, changes)
	}
	if dryRun {
		a.say("dry run: nothing is written")
		return nil
	}
	return a.write(ctx, s, r, ifVersion)
}

// write stores the record under this call's own mark, so that a lost answer
// can be told from another operator's write.
func (a *app) write(ctx context.Context, s objects.Store, r *record.Record, ifVersion int64) error {
	writer := operator() + " " + uuid.NewString()
	value, err := record.MarshalWithWriter(r.Key, r.Spec, writer)
	if err != nil {
		return err
	}
	mine := func(stored []byte) bool { return record.WriterOf(stored) == writer }
	obj, err := objects.PutConfirmed(ctx, s, r.Key, value, ifVersion, mine)
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) {
		changes, _ := diffRecord(conflict.Current.Value, r)
		return a.conflict(r, conflict.Current, changes)
	}
	if err != nil {
		return errors.Wrap(err, r.Key.String())
	}
	a.say("%s is written at version %d; `radishhoist status` shows when it is in force everywhere", r.Key, obj.Version)
	return nil
}

// operator names who runs the command, for other operators to see.
func operator() string {
	if u := os.Getenv("USER"); u != "" {
		return u
	}
	return "operator"
}

// conflict shows both sides of a record that another operator has changed.
func (a *app) conflict(r *record.Record, current objects.Object, changes []change) error {
	a.say("%s: NOT written.", r.Key)
	switch {
	case current.Version == 0:
		a.say("  You edited version %d, and the record has been removed since.", r.Version)
	case r.Version == 0:
		a.say("  The record stands already, at version %d, written by %s.", current.Version, writerName(current.Value))
	default:
		a.say("  You edited version %d; version %d stands now, written by %s.", r.Version, current.Version, writerName(current.Value))
	}
	for _, c := range changes {
		a.say("  %-24s theirs: %-20s yours: %s", c.Field, c.Old, c.New)
	}
	a.say("  Read it with `radishhoist get %s %s`, decide, and apply again; --replace takes yours.", r.Kind, r.Name)
	return &objects.ConflictError{Current: objects.Object{Kind: r.Kind, Name: r.Name, Version: current.Version}, IfVersion: r.Version}
}

func writerName(value []byte) string {
	if w := record.WriterOf(value); w != "" {
		return w
	}
	return "an unnamed writer"
}

func (a *app) showChanges(key record.Key, version int64, changes []change) {
	if version == 0 {
		a.say("%s is new", key)
		return
	}
	for _, c := range changes {
		a.say("%s: %s: %s -> %s", key, c.Field, c.Old, c.New)
	}
}
