// Command ragwortquay is the one binary of the system: it only dispatches to package cli.
package main

import (
	"os"

	"github.com/ragwortquay/ragwortquay/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
