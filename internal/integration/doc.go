// Package integration holds the tests that run the system's real processes
// behind fault-injecting proxies. Their checks read the stand-ins' journals,
// never a daemon's word. It has no code of its own.
package integration
