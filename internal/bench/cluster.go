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
	// waitTimeout bounds each wait for a state of the cluster.
	waitTimeout  = 60 * time.Second
	pollInterval = 10 * time.Millisecond
	// statusTimeout bounds one request to a daemon's operators' server.
	statusTimeout = 5 * time.Second
)

// startCluster starts a cluster and applies the tables, if there are any. The caller
// must Close the cluster unless an error is returned.
func (t *trial) startCluster(ctx context.Context, o procs.Options, tables string) (*procs.Cluster, error) {
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
		return nil, fault.Wrap(fault.Internal, err, "read the daemons' logs", "apply the tables, response %q", out)
	}
	return c, nil
}

// status returns the status that the daemon reports.
func status(ctx context.Context, d *procs.Daemon) (operate.Status, error) {
	c, err := operatorClient(d)
	if err != nil {
		return operate.Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.Status(ctx)
}

func operatorClient(d *procs.Daemon) (*admin.Client, error) {
	return admin.NewClient("http://"+d.OperatorsAddr, procs.OperatorToken)
}

// waitUntilServing waits until the pool has at least n serving replicas, and returns
// the pool.
func waitUntilServing(ctx context.Context, c *procs.Cluster, pool string, n int) (operate.Pool, error) {
	var last operate.Pool
	err := waitFor(ctx, "serving replicas of pool "+pool, func() bool {
		s, err := status(ctx, c.Daemons[0])
		if err != nil {
			return false
		}
		serving := 0
		for _, p := range s.Pools {
			if p.Name == pool {
				last = p
				serving = countServing(p)
			}
		}
		return serving >= n
	})
	return last, err
}

func countServing(p operate.Pool) int {
	n := 0
	for _, r := range p.Replicas {
		if strings.EqualFold(r.Status, "serving") {
			n++
		}
	}
	return n
}

// homeAndOther returns the pool's home and some other daemon.
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

// waitFor polls cond until it holds. The error names what was waited for.
func waitFor(ctx context.Context, what string, cond func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !cond() {
		if !pause.For(ctx, pollInterval) {
			return fault.New(fault.Timeout, "read the daemons' logs with --keep", "timed out waiting for %s after %s", what, waitTimeout)
		}
	}
	return nil
}
