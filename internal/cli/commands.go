package cli

// commands lists every subcommand; each is declared in a file of its own.
func commands(e env) []entry {
	return []entry{
		serveEntry(e),
		frontEntry(e),
		explainEntry(e),
		checkEntry(e),
		demoEntry(e),
		applyEntry(e),
		auditEntry(e),
		benchEntry(e),
		diffEntry(e),
		getEntry(e),
		statusEntry(e),
		watchEntry(e),
		loadEntry(e),
		soakEntry(e),
		standinEntry(e),
		versionEntry(e),
	}
}
