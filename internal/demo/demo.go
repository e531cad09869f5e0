// Package demo runs a whole small system in one process: the platform's
// stand-ins, engines and three daemons. It applies tables as an operator,
// sends a request as a caller, shows both, and ends.
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
	// timeout bounds the whole demonstration.
	timeout = 15 * time.Second
	// shutdownTime is kept back for the graceful end.
	shutdownTime = 4 * time.Second
	daemons      = 3
)

// Demo is one run.
type Demo struct {
	out      io.Writer
	dir      string
	world    *world
	daemons  []*daemon.Daemon
	operator *admin.Client
	token    string
}

// Run performs the demonstration and reports to out.
func Run(ctx context.Context, out io.Writer) error {
	dir, err := os.MkdirTemp("", "ragwortquay-demo")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "make the temporary directory writable", "directory for secrets")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &Demo{out: out, dir: dir}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.run(ctx)
}

// run starts everything, plays the scenes, and ends the daemons before the
// stand-ins that they depend on.
func (d *Demo) run(ctx context.Context) (err error) {
	standins, stopStandins := context.WithCancel(ctx)
	defer stopStandins()
	world, outer := errgroup.WithContext(standins)
	if d.world, err = newWorld(); err != nil {
		return err
	}
	for _, part := range d.world.runners() {
		world.Go(func() error { return part(outer) })
	}
	serving, stopDaemons := context.WithTimeout(ctx, timeout-shutdownTime)
	defer stopDaemons()
	fleet, inner := errgroup.WithContext(serving)
	if err := d.startDaemons(); err != nil {
		return err
	}
	for _, one := range d.daemons {
		fleet.Go(func() error { return one.Run(inner) })
	}
	played := d.play(inner)
	stopDaemons()
	ended := fleet.Wait()
	stopStandins()
	if played != nil {
		return played
	}
	if ended != nil {
		return ended
	}
	if err := world.Wait(); err != nil {
		return err
	}
	d.say("Done: the daemons left gracefully.\n")
	return nil
}

// play runs the scenes in order.
func (d *Demo) play(ctx context.Context) error {
	for _, scene := range []func(context.Context) error{d.ready, d.apply, d.request, d.groups, d.audit} {
		if err := scene(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) say(format string, args ...any) { fmt.Fprintf(d.out, format, args...) }
