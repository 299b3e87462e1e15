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
		Description: "A record with \"version\" is written only if that version is still current; otherwise the other\n" +
			"operator's change is shown and nothing is written. A record without it is created; if it already\n" +
			"exists, the differences are shown and --replace is required.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "`FILE` of one or more JSON records, - for standard input"},
			&cli.BoolFlag{Name: "dry-run", Usage: "check the records and show what would change, without writing"},
			&cli.BoolFlag{Name: "replace", Usage: "replace the stored record, whatever its version"},
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

// readRecords reads and validates all records of a file, so that none is written if one
// is invalid.
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
		return nil, &InvalidError{path + ": contains no records; see docs/operate/records.md for examples"}
	}
	return out, nil
}

// apply writes one record on condition that the stored version is the record's own, or,
// with replace, the version that was just read.
func (a *app) apply(ctx context.Context, s objects.Store, r *record.Record, replace, dryRun bool) error {
	current, err := s.Get(ctx, r.Key)
	var notFound *objects.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
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
		a.printLine("%s is unchanged at version %d", r.Key, current.Version)
		return nil
	}
	a.printChanges(r.Key, current.Version, changes)
	if current.Version != ifVersion {
		return a.conflict(r, current, changes)
	}
	if dryRun {
		a.printLine("dry run: nothing was written")
		return nil
	}
	return a.write(ctx, s, r, ifVersion)
}

// write stores the record with a writer field that is unique to this write. If the response
// is lost, the field shows whether this write or another operator's was stored.
func (a *app) write(ctx context.Context, s objects.Store, r *record.Record, ifVersion int64) error {
	writer := operator() + " " + uuid.NewString()
	value, err := record.MarshalWithWriter(r.Key, r.Spec, writer)
	if err != nil {
		return err
	}
	isOwn := func(stored []byte) bool { return record.WriterOf(stored) == writer }
	obj, err := objects.PutConfirmed(ctx, s, r.Key, value, ifVersion, isOwn)
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) {
		changes, _ := diffRecord(conflict.Current.Value, r)
		return a.conflict(r, conflict.Current, changes)
	}
	if err != nil {
		return errors.Wrap(err, r.Key.String())
	}
	a.printLine("%s is written at version %d; `radishhoist status` shows when it is in force everywhere", r.Key, obj.Version)
	return nil
}

// operator returns the name of the user who runs the command, which other operators see.
func operator() string {
	if u := os.Getenv("USER"); u != "" {
		return u
	}
	return "operator"
}

// conflict prints the differences between a record and the stored one, which another
// operator has changed, and returns the conflict as an error.
func (a *app) conflict(r *record.Record, current objects.Object, changes []fieldChange) error {
	a.printLine("%s: NOT written.", r.Key)
	switch {
	case current.Version == 0:
		a.printLine("  You edited version %d; the record has been deleted since.", r.Version)
	case r.Version == 0:
		a.printLine("  The record already exists at version %d, written by %s.", current.Version, writerName(current.Value))
	default:
		a.printLine("  You edited version %d; the current version is %d, written by %s.", r.Version, current.Version, writerName(current.Value))
	}
	for _, c := range changes {
		a.printLine("  %-24s theirs: %-20s yours: %s", c.Field, c.Old, c.New)
	}
	a.printLine("  Read it with `radishhoist get %s %s`, resolve the differences and apply again; --replace overwrites it with yours.", r.Kind, r.Name)
	return &objects.ConflictError{Current: objects.Object{Kind: r.Kind, Name: r.Name, Version: current.Version}, IfVersion: r.Version}
}

func writerName(value []byte) string {
	if w := record.WriterOf(value); w != "" {
		return w
	}
	return "an unknown writer"
}

func (a *app) printChanges(key record.Key, version int64, changes []fieldChange) {
	if version == 0 {
		a.printLine("%s is new", key)
		return
	}
	for _, c := range changes {
		a.printLine("%s: %s: %s -> %s", key, c.Field, c.Old, c.New)
	}
}
