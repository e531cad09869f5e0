package procs

import "time"

// Options configures a cluster.
type Options struct {
	// Binary is the path of the ragwortquay binary.
	Binary string
	// Dir is the directory for settings, secrets and logs.
	Dir string
	// Daemons is the number of daemons to start.
	Daemons int
	// FailureDomains are the failure domains, to which daemons and VMs are assigned
	// round-robin.
	FailureDomains []string
	// Engines and Services start one stand-in process per element, with the
	// element's flags.
	Engines  []Args
	Services []Args
	// Log, VMs and Weights are extra flags of the platform's stand-ins.
	Log, VMs, Weights Args
	// Workspaces are the workspaces that get a caller token.
	Workspaces []string
	// EnablePartitions starts a proxy in front of each daemon's peer address, which
	// Cluster.Partition requires.
	EnablePartitions bool
	// ExtraSettings is TOML text that is appended to each daemon's settings file.
	ExtraSettings string
}

// Args are command line arguments.
type Args []string

const (
	clusterKey = "loopback-cluster-key-0123456789"
	// OperatorToken is the token of the cluster's only operator.
	OperatorToken = "operator-token-0123456789"
	// readyTimeout is the time within which daemons must become ready.
	readyTimeout = 30 * time.Second
)

// callerToken returns the token of the workspace's callers.
func callerToken(workspace string) string { return "caller-token-0123456789-" + workspace }
