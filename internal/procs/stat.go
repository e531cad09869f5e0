package procs

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Fields of /proc/PID/stat after the command name, from 0.
const (
	statUser     = 11
	statSystem   = 12
	statRSSPages = 21
	// ticksPerSecond is the kernel's USER_HZ on Linux.
	ticksPerSecond = 100
)

func parseStat(line string) (time.Duration, int64, error) {
	_, rest, ok := strings.Cut(line, ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statRSSPages {
		return 0, 0, fault.New(fault.Internal, "check the kernel's format", "stat line %q", line)
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
