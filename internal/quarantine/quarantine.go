// Package quarantine keeps, on every daemon, what package retry judges of
// requests that were in flight when their targets crashed. A daemon that sees
// a crash tells all others what it ran there. It decides nothing itself.
package quarantine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/retry"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Members is the set of live daemons as this one sees it.
type Members interface {
	Self() string
	Live() []string
	Addr(id string) string
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, addr string, req, resp wire.Message) error
}

const (
	// tellTimeout bounds the message to one daemon.
	tellTimeout = 2 * time.Second
	// maxRecent is the number of crashes remembered to recognise outages.
	maxRecent = 256
	// sweepEvery is the number of crashes after which expired records go.
	sweepEvery = 64
)

// Manager knows which requests to run alone and which to refuse.
type Manager struct {
	members Members
	caller  Caller
	// records has what is known of each print, running what this daemon has in
	// flight, by grant.
	records *shard.Map[retry.Record]
	running *shard.Map[flight]

	mu     sync.Mutex
	recent []retry.Crash
	seen   int
}

// flight is one attempt under way.
type flight struct {
	grant  limit.Grant
	prints []retry.Print
}

// New returns a manager without records.
func New(m Members, c Caller) *Manager {
	return &Manager{members: m, caller: c, records: shard.NewMap[retry.Record](), running: shard.NewMap[flight]()}
}

// Prints returns the prints of a request: of its content, and of its
// idempotency key if it has one.
func Prints(workspace, kind, key string, body []byte) []retry.Print {
	scope := workspace + "\x00" + kind + "\x00"
	ps := []retry.Print{retry.Print(shard.Hash(scope + string(body)))}
	if key != "" {
		ps = append(ps, retry.Print(shard.Hash("key\x00"+scope+key)))
	}
	return ps
}

// Judge returns how a request is to be treated: the strictest of its prints.
func (m *Manager) Judge(prints []retry.Print) retry.Verdict {
	now, worst := time.Now(), retry.Clear
	for _, p := range prints {
		if r, ok := m.records.Get(keyOf(p)); ok {
			worst = max(worst, r.Verdict(now))
		}
	}
	return worst
}

// Begin notes that an attempt is about to be sent.
func (m *Manager) Begin(g limit.Grant, prints []retry.Print) {
	m.running.Set(g.ID, flight{grant: g, prints: prints})
}

// End notes that an attempt has ended without a crash. whole says that its
// answer came whole, which clears a suspect.
func (m *Manager) End(g limit.Grant, whole bool) {
	f, ok := m.running.Get(g.ID)
	if !ok {
		return
	}
	m.running.Delete(g.ID)
	if !whole {
		return
	}
	for _, p := range f.prints {
		if r, known := m.records.Get(keyOf(p)); known && !r.Blamed {
			m.records.Delete(keyOf(p))
		}
	}
}

// Crashed notes that the target behind a grant has crashed, with everything
// that this daemon has in flight on it, and tells the other daemons. It is to
// be called before End, and only when the target itself is known to have gone.
func (m *Manager) Crashed(g limit.Grant) {
	c := retry.Crash{Replica: g.Replica, Incarnation: g.Incarnation, FailureDomain: g.FailureDomain, At: time.Now()}
	m.running.Range(func(_ string, f flight) bool {
		if f.grant.Replica == c.Replica && f.grant.Incarnation == c.Incarnation {
			c.Running = append(c.Running, f.prints)
		}
		return true
	})
	m.record(c)
	m.tell(c)
}

func (m *Manager) tell(c retry.Crash) {
	for _, id := range m.members.Live() {
		if id == m.members.Self() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			// A daemon that misses this learns from the crashes that it sees.
			_ = m.caller.Call(ctx, m.members.Addr(id), &wire.Quarantine{Crash: c}, &wire.Ack{})
		}()
	}
}

// Handle answers TypeQuarantine.
func (m *Manager) Handle(_ context.Context, _ string, body []byte) (wire.Message, error) {
	q := &wire.Quarantine{}
	if err := wire.Unmarshal(body, q); err != nil {
		return nil, err
	}
	m.record(q.Crash)
	return &wire.Ack{}, nil
}

// record adds a crash to the records of all that was in flight.
func (m *Manager) record(c retry.Crash) {
	now := time.Now()
	all, recent := m.merge(c)
	for _, prints := range c.Running {
		with := retry.Circumstances{
			Others: m.otherSuspects(now, &all, prints),
			Outage: retry.IsOutage(&c, recent, prints),
		}
		for _, p := range prints {
			m.records.Update(keyOf(p), func(r retry.Record, _ bool) (retry.Record, bool) {
				return r.Add(now, &c, with), true
			})
		}
	}
}

// merge joins reports of one crash. It returns the crash with all that is
// known to have been in flight, and the recent crashes.
func (m *Manager) merge(c retry.Crash) (retry.Crash, []retry.Crash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sweep()
	recent := append([]retry.Crash(nil), m.recent...)
	for i := range m.recent {
		if o := &m.recent[i]; o.Same(&c) {
			o.Running = append(append([][]retry.Print(nil), o.Running...), c.Running...)
			return *o, recent
		}
	}
	if len(m.recent) == maxRecent {
		m.recent = m.recent[1:]
	}
	m.recent = append(m.recent, c)
	return c, recent
}

// sweep drops expired records now and then.
func (m *Manager) sweep() {
	if m.seen++; m.seen%sweepEvery != 0 {
		return
	}
	now := time.Now()
	var old []string
	m.records.Range(func(key string, r retry.Record) bool {
		if r.Verdict(now) == retry.Clear {
			old = append(old, key)
		}
		return true
	})
	for _, key := range old {
		m.records.Delete(key)
	}
}

// otherSuspects counts the other requests in flight that an earlier crash has
// made suspects.
func (m *Manager) otherSuspects(now time.Time, c *retry.Crash, prints []retry.Print) int {
	n := 0
	for _, o := range c.Running {
		if !retry.Shares(o, prints) && m.suspectedBefore(now, c, o) {
			n++
		}
	}
	return n
}

func (m *Manager) suspectedBefore(now time.Time, c *retry.Crash, prints []retry.Print) bool {
	for _, p := range prints {
		if r, ok := m.records.Get(keyOf(p)); ok && r.Before(c).Verdict(now) != retry.Clear {
			return true
		}
	}
	return false
}

func keyOf(p retry.Print) string { return strconv.FormatUint(uint64(p), 16) }
