package cli

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/ragwortquay/ragwortquay/internal/auth"
	"github.com/ragwortquay/ragwortquay/internal/config"
	"github.com/ragwortquay/ragwortquay/internal/edge"
	"github.com/ragwortquay/ragwortquay/platform"
)

type checkCommand struct {
	Config []string `short:"c" long:"config" value-name:"FILE" required:"true" description:"settings file: TOML, or the platform's YAML; repeat it to check daemons against each other"`
	zoneCostFlag
	env env
}

func newCheckCommand(e env) subcommand {
	return subcommand{
		name:  "check",
		short: "Check settings files",
		long: "Checks settings files, the secrets files that they name and the flags of front, and prints all errors at once. " +
			"With several files it also finds daemon ids and addresses that are used twice.",
		cmd: &checkCommand{zoneCostFlag: defaultZoneCost, env: e},
	}
}

// Execute checks the files and returns all errors, joined.
func (c *checkCommand) Execute([]string) error {
	errs := []error{edge.CheckZoneCost(c.ZoneCost)}
	var settings []config.Settings
	for _, path := range c.Config {
		if ext := filepath.Ext(path); ext == ".yaml" || ext == ".yml" {
			_, err := platform.ReadSettings(path)
			errs = append(errs, err)
			continue
		}
		s, err := config.Read(path)
		errs = append(errs, err, checkSecrets(s))
		settings = append(settings, s)
	}
	errs = append(errs, config.CheckConsistency(settings))
	if err := errors.Join(errs...); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.env.out, "%d settings files are valid\n", len(c.Config))
	return err
}

// checkSecrets reads the files with secrets. A file that the settings do not name
// is skipped: the check of the settings reports it.
func checkSecrets(s config.Settings) error {
	var errs []error
	if s.Secrets.TokensFile != "" {
		_, err := auth.OpenTokens(s.Secrets.TokensFile)
		errs = append(errs, err)
	}
	if s.Secrets.ClusterKeyFile != "" {
		_, err := auth.OpenClusterKeys(s.Secrets.ClusterKeyFile)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
