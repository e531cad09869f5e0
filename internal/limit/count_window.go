package limit

import "time"

// Size of the sliding window that a report is compared with.
const (
	bucketCount = 8
	bucketWidth = MaxReportLag / (bucketCount - 1)
)

// countBucket holds the extremes of the counts during one bucketWidth.
type countBucket struct {
	// number is the time since the Unix epoch divided by bucketWidth.
	number int64
	// minHeld is the fewest grants held by live holders, maxAttributed the most
	// work that grants accounted for.
	minHeld       int
	maxAttributed int
}

// countWindow is a ring of the latest buckets, which cover MaxReportLag.
type countWindow [bucketCount]countBucket

// record takes the counts before and after each change.
func (w *countWindow) record(now time.Time, held, attributed int) {
	n := now.UnixNano() / int64(bucketWidth)
	b := &w[n%bucketCount]
	if b.number != n {
		*b = countBucket{number: n, minHeld: held, maxAttributed: attributed}
	}
	b.minHeld = min(b.minHeld, held)
	b.maxAttributed = max(b.maxAttributed, attributed)
}

// maxAttributed returns the most work that grants accounted for during the lag.
func (w *countWindow) maxAttributed(now time.Time) int {
	top := 0
	for _, b := range w {
		if b.number > now.UnixNano()/int64(bucketWidth)-bucketCount {
			top = max(top, b.maxAttributed)
		}
	}
	return top
}

// minHeld returns the fewest grants held during the lag; held is the present
// number.
func (w *countWindow) minHeld(now time.Time, held int) int {
	for _, b := range w {
		if b.number > now.UnixNano()/int64(bucketWidth)-bucketCount {
			held = min(held, b.minHeld)
		}
	}
	return held
}
