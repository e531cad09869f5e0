package procs

import "time"

// Options describe a cluster.
type Options struct {
	// Binary is the built ragwortquay program.
	Binary string
	// Dir takes settings, secrets and logs.
	Dir string
	// Daemons is the number of daemons.
	Daemons int
	// FailureDomains are the failure domains; daemons and VMs are dealt out in turn.
	FailureDomains []string
	// Engines are the flags of each process of stand-in engines, Services of
	// each process of plain services.
	Engines  []Args
	Services []Args
	// Log, VMs and Weights are further flags of the platform's stand-ins.
	Log, VMs, Weights Args
	// Workspaces get a token each.
	Workspaces []string
	// EnablePartitions puts a proxy before each daemon, so that daemons can be cut
	// off from each other.
	EnablePartitions bool
	// ExtraSettings is appended to each daemon's settings file.
	ExtraSettings string
}

// Args are command line arguments.
type Args []string

const (
	clusterKey = "loopback-cluster-key-0123456789"
	// OperatorToken is the token of the cluster's one operator.
	OperatorToken = "operator-token-0123456789"
	// readyTimeout bounds the wait for daemons to be ready.
	readyTimeout = 30 * time.Second
)

// callerToken returns the token of a workspace.
func callerToken(workspace string) string { return "caller-token-0123456789-" + workspace }
