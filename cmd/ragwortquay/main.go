// Command ragwortquay runs all commands of the system, which package cli
// implements.
package main

import (
	"os"

	"github.com/ragwortquay/ragwortquay/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
