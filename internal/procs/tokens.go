package procs

// CallerToken returns the token by which the workspace's callers are known.
func CallerToken(workspace string) string { return callerToken(workspace) }

// OperatorToken returns the token of the cluster's operator.
func OperatorToken() string { return operatorToken }
