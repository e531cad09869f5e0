package procs

// CallerToken returns the token by which the workspace's callers are known.
func CallerToken(workspace string) string { return callerToken(workspace) }
