package cli

// commands returns all subcommands.
func commands(e env) []subcommand {
	return []subcommand{
		newServeCommand(e),
		newFrontCommand(e),
		newExplainCommand(e),
		newCheckCommand(e),
		newDemoCommand(e),
		newApplyCommand(e),
		newAuditCommand(e),
		newBenchCommand(e),
		newDiffCommand(e),
		newGetCommand(e),
		newStatusCommand(e),
		newWatchCommand(e),
		newLoadCommand(e),
		newSoakCommand(e),
		newStandinCommand(e),
		newVersionCommand(e),
	}
}
