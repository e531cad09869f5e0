package cli

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{ env env }

func newVersionCommand(e env) subcommand {
	return subcommand{
		name:  "version",
		short: "Print the release and the Go version",
		long:  "Prints the module version and the Go version that the binary was built with.",
		cmd:   &versionCommand{env: e},
	}
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		_, err := fmt.Fprintln(c.env.out, "ragwortquay, built without version information")
		return err
	}
	_, err := fmt.Fprintf(c.env.out, "ragwortquay %s %s\n", info.Main.Version, info.GoVersion)
	return err
}
