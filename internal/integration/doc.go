// Package integration contains tests that run the system's processes behind
// fault-injecting proxies, and no other code. What ran is checked against the
// stand-ins' journals, not against what daemons report.
package integration
