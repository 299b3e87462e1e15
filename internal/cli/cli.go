// Package cli implements the operators' command line. It reads what is in force from the
// daemons and changes the fleet only by writing records to the platform.
package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/settings"
	"github.com/radishhoist/radishhoist/record"
)

// Exit codes, as documented in docs/operate/cli.md.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitUnsafe      = 6
)

// UnsafeError reports that a change could harm the service, and how to force it, or that a
// wait ended before it was safe to switch a host off.
type UnsafeError struct{ Text string }

// Error implements error.
func (e *UnsafeError) Error() string { return e.Text }

// InvalidError reports invalid arguments or an invalid file.
type InvalidError struct{ Text string }

// Error implements error.
func (e *InvalidError) Error() string { return e.Text }

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var (
		conflict    *objects.ConflictError
		notFound    *objects.NotFoundError
		unavailable *objects.UnavailableError
		invalid     *record.InvalidError
		tooNew      *record.SchemaTooNewError
		usage       *InvalidError
		unsafe      *UnsafeError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &notFound):
		return ExitNotFound
	case errors.As(err, &unavailable), errors.Is(err, objects.ErrUnknownOutcome):
		return ExitUnavailable
	case errors.As(err, &invalid), errors.As(err, &tooNew), errors.As(err, &usage):
		return ExitInvalid
	case errors.As(err, &unsafe):
		return ExitUnsafe
	default:
		return ExitFailed
	}
}

// app is one invocation of the command line.
type app struct {
	out      io.Writer
	in       io.Reader
	adapters Adapters
}

// store creates the store that the flags select. The validator of the adapter flag has
// checked that the adapter exists.
func (a *app) store(cmd *cli.Command) objects.Store {
	return a.adapters[cmd.String("adapter")](cmd.String("platform"))
}

// Adapters maps the names of platform adapters to functions that create a store from the
// platform's base URL.
type Adapters map[string]func(url string) objects.Store

// New builds the command line on the given streams. The adapter for the project's own
// object API is always available; extra adds the adapters of other platforms.
func New(in io.Reader, out io.Writer, extra Adapters) *cli.Command {
	adapters := Adapters{settings.DefaultAdapter: func(url string) objects.Store { return objects.NewClient(url, time.Minute) }}
	maps.Copy(adapters, extra)
	checkAdapter := func(name string) error {
		if _, ok := adapters[name]; !ok {
			return errors.Errorf("%q is not an adapter; use one of %v", name, slices.Sorted(maps.Keys(adapters)))
		}
		return nil
	}
	a := &app{out: out, in: in, adapters: adapters}
	return &cli.Command{
		Name:  "radishhoist",
		Usage: "read and write the records of the proxy fleet, and show what is in force and why",
		Description: "Operators change the fleet only by writing records. Every write is conditional: it never\n" +
			"overwrites another operator's change unnoticed. Start with `radishhoist status`.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "base `URL` of the platform's object API", Sources: cli.EnvVars("RADISHHOIST_PLATFORM"), Value: "http://127.0.0.1:7000"},
			&cli.StringFlag{Name: "adapter", Usage: "`NAME` of the platform adapter, as in the daemons' settings", Sources: cli.EnvVars("RADISHHOIST_ADAPTER"), Value: settings.DefaultAdapter, Validator: checkAdapter},
			&cli.StringFlag{Name: "admin", Usage: "admin `ADDRESS` of any daemon", Sources: cli.EnvVars("RADISHHOIST_ADMIN"), Value: "127.0.0.1:7900"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT`: table or json", Value: "table", Validator: checkFormat},
		},
		Writer:    out,
		ErrWriter: out,
		Commands: []*cli.Command{
			a.getCommand(), a.listCommand(), a.applyCommand(), a.deleteCommand(),
			a.stopCommand(), a.statusCommand(), a.explainCommand(), a.stateCommand(), a.sendCommand(), a.traceCommand(), a.lossesCommand(), a.suspectsCommand(), a.teamsCommand(),
		},
	}
}

func checkFormat(s string) error {
	if s != "table" && s != "json" {
		return errors.Errorf("%q is not a format; use table or json", s)
	}
	return nil
}

func asJSON(cmd *cli.Command) bool { return cmd.String("output") == "json" }

func (a *app) printLine(format string, args ...any) { fmt.Fprintf(a.out, format+"\n", args...) }

// keyArg parses a record key from the arguments: KIND NAME or KIND/NAME.
func keyArg(cmd *cli.Command) (record.Key, error) {
	args := cmd.Args().Slice()
	switch len(args) {
	case 1:
		key, err := record.ParseKey(args[0])
		if err != nil {
			return key, &InvalidError{err.Error()}
		}
		return key, nil
	case 2:
		kind, err := record.ParseKind(args[0])
		if err != nil {
			return record.Key{}, &InvalidError{err.Error()}
		}
		return record.Key{Kind: kind, Name: args[1]}, nil
	default:
		return record.Key{}, &InvalidError{"expected a record as KIND NAME, for example: service plans"}
	}
}
