// Package cli is the command line of operators. It writes records through the
// platform and reads what is in force from the daemons; it changes nothing in
// any other way.
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

// The exit codes. docs/operate/cli.md lists them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitUnsafe      = 6
)

// UnsafeError says that a change would hurt, and how to force it.
type UnsafeError struct{ Text string }

// Error implements error.
func (e *UnsafeError) Error() string { return e.Text }

// InvalidError says that the call or a file is wrong.
type InvalidError struct{ Text string }

// Error implements error.
func (e *InvalidError) Error() string { return e.Text }

// ExitCode gives the exit code for an error.
func ExitCode(err error) int {
	var (
		conflict    *objects.ConflictError
		missing     *objects.NotFoundError
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
	case errors.As(err, &missing):
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

// app is one call of the command line.
type app struct {
	out    io.Writer
	in     io.Reader
	stores Adapters
}

// store makes the store that the flags name. The flag's check has seen the
// adapter.
func (a *app) store(cmd *cli.Command) objects.Store {
	return a.stores[cmd.String("adapter")](cmd.String("platform"))
}

// Adapters make the store of a platform at a URL, by the adapter's name.
type Adapters map[string]func(url string) objects.Store

// New builds the command line with its streams. The own dialect is always
// there; others adds those of other platforms.
func New(in io.Reader, out io.Writer, others Adapters) *cli.Command {
	stores := Adapters{settings.DefaultAdapter: func(url string) objects.Store { return objects.NewClient(url, time.Minute) }}
	maps.Copy(stores, others)
	checkAdapter := func(name string) error {
		if _, ok := stores[name]; !ok {
			return errors.Errorf("%q is not an adapter; write one of %v", name, slices.Sorted(maps.Keys(stores)))
		}
		return nil
	}
	a := &app{out: out, in: in, stores: stores}
	return &cli.Command{
		Name:  "radishhoist",
		Usage: "write and read the records of the proxy fleet, and see what is in force and why",
		Description: "Operators change the fleet only by writing records. Every write is conditional: it never\n" +
			"overwrites another operator's change unseen. Start with `radishhoist status`.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "base `URL` of the platform's object API", Sources: cli.EnvVars("RADISHHOIST_PLATFORM"), Value: "http://127.0.0.1:7000"},
			&cli.StringFlag{Name: "adapter", Usage: "dialect of the platform, as the daemons' settings `NAME` it", Sources: cli.EnvVars("RADISHHOIST_ADAPTER"), Value: settings.DefaultAdapter, Validator: checkAdapter},
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
		return errors.Errorf("%q is not a format; write table or json", s)
	}
	return nil
}

func asJSON(cmd *cli.Command) bool { return cmd.String("output") == "json" }

func (a *app) say(format string, args ...any) { fmt.Fprintf(a.out, format+"\n", args...) }

// keyArg reads a record's key from the arguments: KIND NAME or KIND/NAME.
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
		return record.Key{}, &InvalidError{"write a record as KIND NAME, for example: service plans"}
	}
}
