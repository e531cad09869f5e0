// Package cli implements the command line: it parses arguments, calls the packages
// that implement the commands, and maps their errors to exit statuses.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// env holds the output streams of a command.
type env struct {
	out io.Writer
	err io.Writer
}

// command executes a subcommand. The parser sets its options: the exported fields
// of the value.
type command interface {
	flags.Commander
}

// subcommand describes a subcommand to the parser. A subcommand without a cmd only
// groups its children.
type subcommand struct {
	name     string
	short    string
	long     string
	cmd      command
	children []subcommand
}

// Main runs the command line and returns the exit status: 0 for success, 2 for
// wrong usage or invalid input, 1 for any other error.
func Main(args []string, out, errOut io.Writer) int {
	p := flags.NewNamedParser("ragwortquay", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Serves large models that span several VMs: routes requests to complete replica groups."
	if err := register(p.Command, commands(env{out: out, err: errOut})); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	_, err := p.ParseArgs(args)
	return reportError(err, out, errOut)
}

func register(parent *flags.Command, entries []subcommand) error {
	for _, e := range entries {
		var data any = e.cmd
		if e.cmd == nil {
			data = &struct{}{}
		}
		c, err := parent.AddCommand(e.name, e.short, e.long, data)
		if err != nil {
			return err
		}
		if err := register(c, e.children); err != nil {
			return err
		}
	}
	return nil
}

// reportError prints the error, or the help text if that was asked for, and
// returns the exit status.
func reportError(err error, out, errOut io.Writer) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintf(errOut, "%s\nTry: ragwortquay --help\n", usage.Message)
		return exitUsage
	case fault.Is(err, fault.BadInput):
		fmt.Fprintln(errOut, err)
		return exitUsage
	default:
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
}
