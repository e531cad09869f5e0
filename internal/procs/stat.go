package procs

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Indexes of fields in /proc/PID/stat, counted from 0 after the command name.
const (
	statUser     = 11
	statSystem   = 12
	statRSSPages = 21
	// ticksPerSecond is the kernel's USER_HZ on Linux.
	ticksPerSecond = 100
)

// parseStat returns the CPU time and resident set size in a line of /proc/PID/stat.
func parseStat(line string) (time.Duration, int64, error) {
	_, afterName, ok := strings.Cut(line, ") ")
	fields := strings.Fields(afterName)
	if !ok || len(fields) <= statRSSPages {
		return 0, 0, fault.New(fault.Internal, "check the kernel's format", "unexpected line in /proc/PID/stat: %q", line)
	}
	var ticks int64
	for _, i := range []int{statUser, statSystem} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[statRSSPages], 10, 64)
	if err != nil {
		return 0, 0, err
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, pages * int64(os.Getpagesize()), nil
}
