// Command bed runs the scripts of the review: it starts daemons as separate processes
// before small stand-ins of the store, the engines and the clients, and checks one rule.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// outcome is the result of a case, and the exit status.
type outcome int

const (
	held outcome = iota
	broken
	notRun
)

// bench is what a case runs with.
type bench struct {
	// trouble is set unless the case runs without its disruption.
	trouble bool
	binary  string
	dir     string
	record  *bufio.Writer
	begun   time.Time
}

// note writes a line to the record, with the seconds since the start.
func (b *bench) note(format string, args ...any) {
	_, _ = fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a time in seconds since the start.
func (b *bench) since(t time.Time) float64 { return t.Sub(b.begun).Seconds() }

// ip returns a loopback address that no other run uses.
func (b *bench) ip(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&127, pid&255, 1+number)
}

var cases = map[string]func(*bench) outcome{"backlog": runBacklog, "storm": runStorm, "clock": runClock}

func main() { os.Exit(int(runCase())) }

// runCase runs the case that the first argument names and writes the record to the file
// that the second one names.
func runCase() outcome {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD")
		return notRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review-bed-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	self, err := os.Executable()
	if err != nil {
		return notRun
	}
	b := &bench{
		trouble: os.Getenv("TROUBLE") != "0", binary: filepath.Join(filepath.Dir(self), "ragwortquay"), dir: dir,
		record: bufio.NewWriter(file), begun: time.Now(),
	}
	defer func() { _ = b.record.Flush() }()
	result := cases[os.Args[1]](b)
	b.note("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[result])
	return result
}
