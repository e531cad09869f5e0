package edge_test

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/planner"
	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

// lossyEngines is an EngineClient that loses calls to one engine.
type lossyEngines struct {
	planner.EngineClient
	// lost is the id of the engine, or empty. keepsHealth lets health checks through.
	lost        atomic.Value
	keepsHealth atomic.Bool
}

func (l *lossyEngines) loses(e *catalog.Engine) bool { return l.lost.Load() == e.ID }

func (l *lossyEngines) Report(e *catalog.Engine) (planner.Report, error) {
	if l.loses(e) {
		return planner.Report{}, fault.New(fault.Timeout, "", "lost")
	}
	return l.EngineClient.Report(e)
}

func (l *lossyEngines) Order(e *catalog.Engine, o planner.Order) error {
	if l.loses(e) {
		return fault.New(fault.Timeout, "", "lost")
	}
	return l.EngineClient.Order(e, o)
}

func (l *lossyEngines) Answers(e *catalog.Engine, healthPath string) bool {
	return (!l.loses(e) || l.keepsHealth.Load()) && l.EngineClient.Answers(e, healthPath)
}

// TestMembersOfALeavingHeadOutOfReachStay lets the head of a group leave without notice
// and go on serving, while the planner has lost its path to it. This happened: three
// seconds later its members joined another group, with the head open (TWO). Once the
// head has ended, its members must be used again.
func TestMembersOfALeavingHeadOutOfReachStay(t *testing.T) {
	for name, lose := range map[string]func(paths []*lossyEngines, planner int, head string){
		"the planner loses its path": func(paths []*lossyEngines, planner int, head string) {
			paths[planner].lost.Store(head)
		},
		"all daemons lose the path of reports and orders": func(paths []*lossyEngines, _ int, head string) {
			for _, p := range paths {
				p.keepsHealth.Store(true)
				p.lost.Store(head)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var paths []*lossyEngines
			f.wrapEngines = func(_ int, c planner.EngineClient) planner.EngineClient {
				paths = append(paths, &lossyEngines{EngineClient: c})
				return paths[len(paths)-1]
			}
			f.publish(1, goodKey)
			const events = 40
			engines := f.addEngines("d0", 3, events, 200*time.Millisecond)
			f.addDaemon()
			f.addDaemon()
			f.waitUntilDaemonsHearEachOther()
			planning := func(n int) bool { return slices.Contains(f.metricLines(n), "ragwortquay_planning 1") }
			eventually(t, "a daemon plans and a group serves", func() bool {
				return (planning(0) || planning(1)) && slices.ContainsFunc(engines, func(e *site.Engine) bool {
					_, state := e.GroupState()
					return state == "open"
				})
			})
			planner, other := 0, 1
			if planning(1) {
				planner, other = 1, 0
			}
			var resp *http.Response
			eventually(t, "a stream runs", func() bool {
				var err error
				resp, err = f.call(other, http.MethodPost, streamPath, goodKey, smallName)
				must.NoError(t, err)
				return resp.StatusCode == http.StatusOK
			})
			t.Cleanup(func() { _ = resp.Body.Close() })
			id := resp.Request.Header.Get("Request-Id")
			head := engines[slices.IndexFunc(engines, func(e *site.Engine) bool { return slices.Contains(e.ExecutedRequests(), id) })]
			headID := ""
			for _, x := range f.store.Executions() {
				if x.RequestID == id {
					headID = x.EngineID
				}
			}
			f.addEngines("d0", 1, events, 200*time.Millisecond) // the members and this one can form a group
			lose(paths, planner, headID)
			head.ExpireEntry()

			got := 0
			lines := bufio.NewScanner(resp.Body)
			for lines.Scan() {
				if strings.HasPrefix(lines.Text(), "id: ") {
					got++
				}
			}
			must.NoError(t, lines.Err())
			must.Eq(t, events, got)
			must.Len(t, 0, f.store.DisruptiveJoins())

			head.Crash()
			eventually(t, "another group serves", func() bool {
				return slices.ContainsFunc(f.engines, func(e *site.Engine) bool {
					_, state := e.GroupState()
					return e != head && state == "open"
				})
			})
			must.Len(t, 0, f.store.DisruptiveJoins())
		})
	}
}

// TestMembersOfAHeadThatNobodyReachesLeaveItsGroup guards against engines in two groups: the
// head of an open group was reached by no daemon and not by the store, but by its members,
// and these were joined to another group while it was open (TWO).
func TestMembersOfAHeadThatNobodyReachesLeaveItsGroup(t *testing.T) {
	f := newFixture(t)
	var paths []*lossyEngines
	f.wrapEngines = func(_ int, c planner.EngineClient) planner.EngineClient {
		paths = append(paths, &lossyEngines{EngineClient: c})
		return paths[len(paths)-1]
	}
	f.publish(1, goodKey)
	engines := f.addEngines("d0", 3, 1, time.Millisecond)
	f.addDaemon()
	f.addDaemon()
	f.waitUntilDaemonsHearEachOther()
	serving := func() *site.Engine {
		i := slices.IndexFunc(f.engines, func(e *site.Engine) bool {
			_, state := e.GroupState()
			return state == "open"
		})
		if i < 0 {
			return nil
		}
		return f.engines[i]
	}
	eventually(t, "a group serves", func() bool { return serving() != nil })
	head := serving()
	group, _ := head.GroupState()
	f.addEngines("d0", 1, 1, time.Millisecond) // the members and this one can form a group
	for _, p := range paths {
		p.lost.Store(fmt.Sprintf("i-%d", slices.Index(f.engines, head)))
	}
	head.ExpireEntry()
	eventually(t, "another group serves", func() bool {
		return slices.ContainsFunc(f.engines, func(e *site.Engine) bool {
			_, state := e.GroupState()
			return e != head && state == "open"
		})
	})
	must.SliceEmpty(t, f.store.DisruptiveJoins())
	name, state := head.GroupState()
	must.Eq(t, group+" open", name+" "+state, must.Sprint("the case needs a head that is open all the while"))
	left := 0
	for _, e := range engines {
		left += int(min(site.FirstOrderSeq(e, "leave "+group), 1))
	}
	must.Positive(t, left)
	eventually(t, "the planner counts the members that left", func() bool {
		return slices.Contains(slices.Concat(f.metricLines(0), f.metricLines(1)), fmt.Sprintf("ragwortquay_members_left %d", left))
	})
}
