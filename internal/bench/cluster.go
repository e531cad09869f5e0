package bench

import (
	"context"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/procs"
)

const (
	// settleTimeout bounds the wait until a cluster is in the state that an
	// experiment starts from.
	settleTimeout = 60 * time.Second
	pollInterval  = 10 * time.Millisecond
	// statusTimeout bounds one look at a daemon.
	statusTimeout = 5 * time.Second
)

// start starts a cluster and puts the tables in force. The caller must Close it
// unless there is an error.
func (t *trial) start(ctx context.Context, o procs.Options, tables string) (*procs.Cluster, error) {
	o.Binary = t.binary
	if o.Dir == "" {
		o.Dir = t.dir
	}
	o.Workspaces = append(o.Workspaces, workspace)
	c, err := procs.Start(o)
	if err != nil {
		c.Close()
		return nil, err
	}
	if tables == "" {
		return c, nil
	}
	if out, err := c.ApplyTables(ctx, c.Daemons[0], tables); err != nil {
		c.Close()
		return nil, fault.Wrap(fault.Internal, err, "read the daemons' logs", "apply the tables: %s", out)
	}
	return c, nil
}

// status returns what the daemon knows.
func status(ctx context.Context, d *procs.Daemon) (operate.Status, error) {
	c, err := operators(d)
	if err != nil {
		return operate.Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.Status(ctx)
}

func operators(d *procs.Daemon) (*admin.Client, error) {
	return admin.NewClient("http://"+d.OperatorsAddr, procs.OperatorToken)
}

// settled waits until the pool has n replicas that serve, and returns it.
func settled(ctx context.Context, c *procs.Cluster, pool string, n int) (operate.Pool, error) {
	var last operate.Pool
	err := until(ctx, "replicas of "+pool, func() bool {
		s, err := status(ctx, c.Daemons[0])
		if err != nil {
			return false
		}
		serving := 0
		for _, p := range s.Pools {
			if p.Name == pool {
				last = p
				serving = servingIn(p)
			}
		}
		return serving >= n
	})
	return last, err
}

func servingIn(p operate.Pool) int {
	n := 0
	for _, r := range p.Replicas {
		if strings.EqualFold(r.Status, "serving") {
			n++
		}
	}
	return n
}

// homeAndOther returns the pool's home and a daemon that is not.
func homeAndOther(c *procs.Cluster, p operate.Pool) (home, other *procs.Daemon) {
	for _, d := range c.Daemons {
		if d.ID == p.Home {
			home = d
		} else {
			other = d
		}
	}
	return home, other
}

// until waits for a condition.
func until(ctx context.Context, what string, cond func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !cond() {
		if !pause.For(ctx, pollInterval) {
			return fault.New(fault.Timeout, "read the daemons' logs with --keep", "no %s within %s", what, settleTimeout)
		}
	}
	return nil
}
