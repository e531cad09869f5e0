// Package demo runs a small system in one process: stand-ins of the platform's
// services, stand-in engines and three daemons. It applies tables as an operator,
// sends a request as a caller, prints the results and shuts down.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/daemon"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// timeout limits the whole demonstration.
	timeout = 15 * time.Second
	// shutdownReserve is the part of timeout that is reserved for graceful shutdown.
	shutdownReserve = 4 * time.Second
	daemonCount     = 3
)

// Demo is the state of one run of the demonstration.
type Demo struct {
	out         io.Writer
	dir         string
	standins    *standins
	daemons     []*daemon.Daemon
	operator    *admin.Client
	callerToken string
}

// Run runs the demonstration and prints its progress to out.
func Run(ctx context.Context, out io.Writer) error {
	dir, err := os.MkdirTemp("", "ragwortquay-demo")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "make the temporary directory writable", "create the directory for secrets")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &Demo{out: out, dir: dir}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.run(ctx)
}

// run starts the stand-ins and the daemons, runs the steps, and stops the daemons
// before the stand-ins that they depend on.
func (d *Demo) run(ctx context.Context) (err error) {
	standinsParent, stopStandins := context.WithCancel(ctx)
	defer stopStandins()
	standinGroup, standinsCtx := errgroup.WithContext(standinsParent)
	if d.standins, err = newStandins(); err != nil {
		return err
	}
	for _, runStandin := range d.standins.runners() {
		standinGroup.Go(func() error { return runStandin(standinsCtx) })
	}
	daemonsParent, stopDaemons := context.WithTimeout(ctx, timeout-shutdownReserve)
	defer stopDaemons()
	daemonGroup, daemonsCtx := errgroup.WithContext(daemonsParent)
	if err := d.startDaemons(); err != nil {
		return err
	}
	for _, dm := range d.daemons {
		daemonGroup.Go(func() error { return dm.Run(daemonsCtx) })
	}
	stepsErr := d.runSteps(daemonsCtx)
	stopDaemons()
	daemonsErr := daemonGroup.Wait()
	stopStandins()
	if stepsErr != nil {
		return stepsErr
	}
	if daemonsErr != nil {
		return daemonsErr
	}
	if err := standinGroup.Wait(); err != nil {
		return err
	}
	d.printf("Done: the daemons shut down gracefully.\n")
	return nil
}

// runSteps runs the steps of the demonstration in order and stops at the first error.
func (d *Demo) runSteps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{d.waitReady, d.applyTables, d.sendRequest, d.printGroups, d.printAudit} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// printf prints to the demonstration's output.
func (d *Demo) printf(format string, args ...any) { fmt.Fprintf(d.out, format, args...) }
