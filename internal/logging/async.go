package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines limits the lines that wait to be written. A full queue takes a
	// few megabytes at most.
	maxQueuedLines = 4096
	// reservedErrorLines is the part of the queue that is reserved for errors.
	reservedErrorLines = 512
	// maxLinesPerSecond and maxBurstLines limit the rate of lines that are not
	// errors. A daemon that refuses 200 requests per second stays below the limit.
	maxLinesPerSecond = 600
	maxBurstLines     = 1200
	// droppedReportInterval is the interval at which the number of dropped lines
	// is logged.
	droppedReportInterval = time.Second
	// closeTimeout bounds how long Close waits for the output. A process that stops has
	// to exit within its grace period also if nobody reads its log.
	closeTimeout = 100 * time.Millisecond
)

// AsyncWriter is an io.Writer for log lines that never blocks. It queues lines
// and writes them in the background. If they arrive too fast it drops and counts
// them, ordinary lines before errors.
type AsyncWriter struct {
	out       io.Writer
	queue     chan []byte
	limiter   *rate.Limiter
	dropped   [2]atomic.Int64 // index 0: ordinary lines, 1: errors
	closing   chan struct{}   // closed by Close
	done      chan struct{}   // closed when run has ended
	closeOnce sync.Once
}

// NewAsyncWriter returns an AsyncWriter that writes to out until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		out: out, queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}),
		limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
	}
	go a.run()
	return a
}

// errorMark is the level field of a JSON line that reports an error.
var errorMark = []byte(`"level":"ERROR"`)

// Write queues or drops a line. It never blocks and never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	kind := 0 // index of dropped
	if bytes.Contains(line, errorMark) {
		kind = 1
	}
	drop := kind == 0 && (len(a.queue) > maxQueuedLines-reservedErrorLines || !a.limiter.Allow())
	if drop {
		a.dropped[kind].Add(1)
		return len(line), nil
	}
	select {
	case a.queue <- bytes.Clone(line):
	default:
		a.dropped[kind].Add(1)
	}
	return len(line), nil
}

// Dropped returns the numbers of ordinary lines and of errors dropped so far.
func (a *AsyncWriter) Dropped() (ordinary, errors int64) {
	return a.dropped[0].Load(), a.dropped[1].Load()
}

// Close writes the queued lines and stops the writer, but waits no longer than
// closeTimeout for the output. Lines written after Close are lost.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.closing) })
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-a.done:
	case <-t.C:
	}
}

// run writes queued lines until Close is called and the queue is empty.
func (a *AsyncWriter) run() {
	defer close(a.done)
	var reported [2]int64
	ticker := time.NewTicker(droppedReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-a.queue:
			a.writeLine(line)
		case <-a.closing:
			a.drain()
			return
		case <-ticker.C:
			ordinary, errs := a.Dropped()
			if now := [2]int64{ordinary, errs}; now != reported {
				a.writeLine(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"ordinary\":%d,\"errors\":%d}\n", ordinary-reported[0], errs-reported[1]))
				reported = now
			}
		}
	}
}

// drain writes the lines that are queued now.
func (a *AsyncWriter) drain() {
	for {
		select {
		case line := <-a.queue:
			a.writeLine(line)
		default:
			return
		}
	}
}

func (a *AsyncWriter) writeLine(line []byte) {
	// A failure to write the log cannot be reported anywhere else.
	_, _ = a.out.Write(line)
}
