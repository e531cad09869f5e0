package main

import (
	"fmt"
	"os"
)

// The exit statuses of a script.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageText = "usage: standin-3 CASE RECORD"
)

// cases are the scripts by name. Each returns its exit status.
var cases = map[string]func(b *bed, trouble bool) (int, error){
	"descriptors": runDescriptors,
	"late-orders": runLate,
	"event-ids":   runEventIDs,
	"signature":   runSeal,
	"silence":     runSilence,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageText)
		os.Exit(couldNot)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	b, err := newBed(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer b.close()
	status, err := cases[name](b, os.Getenv("TROUBLE") != "0")
	if err != nil {
		b.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	b.note("exit status %d", status)
	return status
}
