// Package bench holds the experiments behind docs/MEASUREMENTS.md. Each experiment runs
// the system's real processes on loopback and measures them from outside. The results
// are figures; the only verdict is whether the median of a figure meets its goal.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Options configures the runs of an experiment.
type Options struct {
	// Binary is the program whose processes are measured.
	Binary string
	// Runs is the number of runs.
	Runs int
	// Seed determines the requests of the first run; each further run adds one.
	Seed uint64
	// KeepFiles keeps the processes' logs and settings after a run.
	KeepFiles bool
	// Out receives one JSON line for each run, and then the summary.
	Out io.Writer
}

// Experiment is a named measurement with goals for some of its figures.
type Experiment struct {
	Name, Summary string
	goals         []goal
	run           func(context.Context, *trial) ([]Figure, error)
}

// trial holds the inputs of one run of an experiment.
type trial struct {
	binary, dir string
	seed        uint64
}

// Experiments lists all experiments.
func Experiments() []Experiment {
	return []Experiment{
		latencyExperiment(), throughputExperiment(), restExperiment(), spreadExperiment(), downtimeExperiment(),
		strandedExperiment(), domainExperiment(), coldLimitExperiment(), outageExperiment(), keyedExperiment(),
		largeExperiment(), tokensExperiment(), watchingExperiment(),
	}
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, error) {
	var names []string
	for _, e := range Experiments() {
		if e.Name == name {
			return e, nil
		}
		names = append(names, e.Name)
	}
	return Experiment{}, fault.Invalid("NAME", fmt.Sprintf("name one of %v", names), "no experiment %q", name)
}

// Run runs the experiment Options.Runs times and writes the figures of each run and a
// summary.
func (e Experiment) Run(ctx context.Context, o Options) error {
	var results []RunResult
	out := json.NewEncoder(o.Out)
	for n := range o.Runs {
		seed := o.Seed + uint64(n)
		if err := ctx.Err(); err != nil {
			return err
		}
		before := loadAverage()
		figures, err := e.runOnce(ctx, o, seed)
		if err != nil {
			return err
		}
		result := RunResult{Experiment: e.Name, Run: n + 1, Seed: seed, LoadBefore: before, LoadAfter: loadAverage(), Figures: figures}
		if err := out.Encode(result); err != nil {
			return fault.Wrap(fault.Internal, err, "check that the output is writable", "write the result of a run")
		}
		results = append(results, result)
	}
	return writeSummary(o.Out, e, results)
}

// runOnce runs the experiment once, in a temporary directory.
func (e Experiment) runOnce(ctx context.Context, o Options, seed uint64) ([]Figure, error) {
	dir, err := os.MkdirTemp("", "ragwortquay-bench-"+e.Name+"-")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check that the temporary directory is writable", "create a directory for the run")
	}
	if !o.KeepFiles {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	return e.run(ctx, &trial{binary: o.Binary, dir: dir, seed: seed})
}

// subdir returns a directory for one of the clusters that a run starts one after
// another.
func (t *trial) subdir(n int) (string, error) {
	dir := filepath.Join(t.dir, strconv.Itoa(n))
	return dir, os.MkdirAll(dir, 0o700)
}
