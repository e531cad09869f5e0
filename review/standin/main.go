// Command standin plays one case of the review: it starts daemons as processes before
// stand-ins of the store, the engines and the clients, disturbs them, and writes what
// was sent, answered and run. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// maxDuration ends a case that hangs.
const maxDuration = 115 * time.Second

// play runs one case on a cluster and reports whether the rule was broken.
type play func(c *cluster, trouble bool) (isBroken bool, err error)

var plays = map[string]play{"denied": playDenied, "drain": playDrain, "memory": playMemory, "cold": playCold, "two": playTwo, "mixed": playMixed, "deadly": playDeadly}

func main() { os.Exit(run()) }

func run() int {
	recordPath := flag.String("record", "", "file for the record")
	trouble := flag.String("trouble", "1", "0 leaves out the disruption")
	flag.Parse()
	p, ok := plays[flag.Arg(0)]
	if !ok || *recordPath == "" {
		fmt.Fprintln(os.Stderr, "usage: standin --record FILE [--trouble 0|1] denied|drain|memory|cold|two|mixed|deadly")
		return cannot
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer rec.close()
	c, err := newCluster(rec)
	if err != nil {
		rec.note("cannot run: %v", err)
		return cannot
	}
	defer c.close()
	go func() {
		time.Sleep(maxDuration)
		rec.note("cannot run: not ended after %v", maxDuration)
		c.close()
		rec.close()
		os.Exit(cannot)
	}()
	isBroken, err := p(c, *trouble != "0")
	switch {
	case err != nil:
		rec.note("cannot run: %v", err)
		return cannot
	case isBroken:
		rec.note("RESULT: the rule was broken")
		return broken
	default:
		rec.note("RESULT: the rule held")
		return held
	}
}
