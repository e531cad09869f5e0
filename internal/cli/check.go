package cli

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/ragwortquay/ragwortquay/internal/auth"
	"github.com/ragwortquay/ragwortquay/internal/config"
	"github.com/ragwortquay/ragwortquay/platform"
)

type checkCommand struct {
	Config []string `short:"c" long:"config" value-name:"FILE" required:"true" description:"settings file: TOML, or the platform's YAML; repeat it to check daemons against each other"`
	env    env
}

func checkEntry(e env) entry {
	return entry{
		name:  "check",
		short: "Check settings files",
		long: "Checks settings files and the secrets that they name, and prints all mistakes at once. " +
			"With several files it also finds identities and addresses that are used twice.",
		cmd: &checkCommand{env: e},
	}
}

// Execute checks the files and returns all mistakes, joined.
func (c *checkCommand) Execute([]string) error {
	var errs []error
	var all []config.Settings
	for _, path := range c.Config {
		if ext := filepath.Ext(path); ext == ".yaml" || ext == ".yml" {
			_, err := platform.ReadSettings(path)
			errs = append(errs, err)
			continue
		}
		s, err := config.Read(path)
		errs = append(errs, err, checkSecrets(s))
		all = append(all, s)
	}
	errs = append(errs, config.CheckConsistency(all))
	if err := errors.Join(errs...); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.env.out, "%d settings files are good\n", len(c.Config))
	return err
}

// checkSecrets opens the secret files; a missing setting is reported by the
// settings' own check.
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
