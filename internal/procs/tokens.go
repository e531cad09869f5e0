package procs

// CallerToken returns the bearer token of the workspace's callers.
func CallerToken(workspace string) string { return callerToken(workspace) }
