// Package bench holds the experiments behind docs/MEASUREMENTS.md. Each runs
// the system's real processes on loopback, measures from outside, and reports
// figures; it judges nothing but whether a figure meets its target.
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

// Options say how experiments are run.
type Options struct {
	// Binary is the built program whose processes are measured.
	Binary string
	// Runs is the number of repetitions.
	Runs int
	// Seed fixes what is sent in the first run; each further run adds one.
	Seed uint64
	// KeepFiles keeps the processes' logs and settings.
	KeepFiles bool
	// Out gets one JSON line per run and the summary.
	Out io.Writer
}

// Experiment is one measurement.
type Experiment struct {
	Name, Summary string
	targets     []goal
	run         func(context.Context, *trial) ([]Figure, error)
}

// trial is one run of an experiment.
type trial struct {
	binary, dir string
	seed        uint64
}

// Experiments lists all experiments.
func Experiments() []Experiment {
	return []Experiment{
		latency(), throughput(), rest(), spread(), downtime(), stranded(), domain(), cold(), outage(), keyedLoad(),
		large(), tokens(), watching(),
	}
}

// Find returns the experiment with the name.
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

// Run repeats the experiment and writes its figures and their summary.
func (e Experiment) Run(ctx context.Context, o Options) error {
	var lines []RunResult
	out := json.NewEncoder(o.Out)
	for n := range o.Runs {
		seed := o.Seed + uint64(n)
		if err := ctx.Err(); err != nil {
			return err
		}
		before := loadAverage()
		figures, err := e.once(ctx, o, seed)
		if err != nil {
			return err
		}
		line := RunResult{Experiment: e.Name, Run: n + 1, Seed: seed, LoadBefore: before, LoadAfter: loadAverage(), Figures: figures}
		if err := out.Encode(line); err != nil {
			return fault.Wrap(fault.Internal, err, "check the output", "write a result")
		}
		lines = append(lines, line)
	}
	return writeSummary(o.Out, e, lines)
}

// once carries out one run in a directory of its own.
func (e Experiment) once(ctx context.Context, o Options, seed uint64) ([]Figure, error) {
	dir, err := os.MkdirTemp("", "ragwortquay-bench-"+e.Name+"-")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check the temporary directory", "make a directory")
	}
	if !o.KeepFiles {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	return e.run(ctx, &trial{binary: o.Binary, dir: dir, seed: seed})
}

// sub returns a directory for one of a run's several clusters.
func (t *trial) sub(n int) (string, error) {
	dir := filepath.Join(t.dir, strconv.Itoa(n))
	return dir, os.MkdirAll(dir, 0o700)
}
