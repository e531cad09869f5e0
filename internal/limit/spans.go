package limit

import "time"

// Windows over which a report is compared with what was held.
const (
	spanCount = 8
	spanWidth = MaxReportLag / (spanCount - 1)
)

// span is what was seen during a short time.
type span struct {
	// n numbers the span since the epoch.
	n int64
	// least is the fewest grants held by live holders, most the most work known.
	least int
	most  int
}

// spans remembers the last few spans, as far back as a report may lag.
type spans [spanCount]span

// note takes the counts before and after each change.
func (s *spans) note(now time.Time, held, known int) {
	n := now.UnixNano() / int64(spanWidth)
	sp := &s[n%spanCount]
	if sp.n != n {
		*sp = span{n: n, least: held, most: known}
	}
	sp.least = min(sp.least, held)
	sp.most = max(sp.most, known)
}

// most returns the most work known at any time within the lag.
func (s *spans) most(now time.Time) int {
	top := 0
	for _, sp := range s {
		if sp.n > now.UnixNano()/int64(spanWidth)-spanCount {
			top = max(top, sp.most)
		}
	}
	return top
}

// least returns the fewest grants held at any time within the lag, given those
// that are held now.
func (s *spans) least(now time.Time, held int) int {
	for _, sp := range s {
		if sp.n > now.UnixNano()/int64(spanWidth)-spanCount {
			held = min(held, sp.least)
		}
	}
	return held
}
