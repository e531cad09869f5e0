package cli

// commands lists every subcommand; each is declared in a file of its own.
func commands(e env) []entry {
	return []entry{
		loadEntry(e),
		standinEntry(e),
		versionEntry(e),
	}
}
