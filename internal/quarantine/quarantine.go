// Package quarantine keeps, on every daemon, the crash histories of requests that
// were in flight when their targets crashed. A daemon that detects a crash reports
// to all others which requests it was running there. The rules by which requests
// are suspected and quarantined are those of package suspect.
package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Members is this daemon's view of the live daemons.
type Members interface {
	Self() string
	Live() []string
	Addr(id string) string
}

// Caller sends requests to other daemons.
type Caller interface {
	Call(ctx context.Context, addr string, req, resp wire.Message) error
}

const (
	// reportTimeout bounds the report of a crash to one daemon.
	reportTimeout = 2 * time.Second
	// maxRecentCrashes is the number of crashes kept to recognise outages.
	maxRecentCrashes = 256
)

// Manager tracks the attempts in flight on this daemon and the crash histories of
// requests, and returns the verdict on a request. It is safe for concurrent use.
type Manager struct {
	members Members
	caller  Caller
	ledger  *suspect.Ledger
	// attempts holds the attempts that this daemon has in flight, by the id of their
	// grant.
	attempts *shard.Map[attempt]

	mu            sync.Mutex
	recentCrashes []suspect.Crash
}

// attempt is an attempt in flight.
type attempt struct {
	grant        limit.Grant
	fingerprints []suspect.Fingerprint
}

// New returns a manager without histories.
func New(m Members, c Caller) *Manager {
	return &Manager{members: m, caller: c, ledger: suspect.NewLedger(), attempts: shard.NewMap[attempt]()}
}

// Fingerprints returns the fingerprints of a request: that of its content, and
// that of its idempotency key if it has one.
func Fingerprints(workspace, kind, key string, body []byte) []suspect.Fingerprint {
	scope := workspace + "\x00" + kind + "\x00"
	out := []suspect.Fingerprint{suspect.Fingerprint(shard.Hash(scope + string(body)))}
	if key != "" {
		out = append(out, suspect.Fingerprint(shard.Hash("key\x00"+scope+key)))
	}
	return out
}

// Verdict returns the strictest verdict on any of the request's fingerprints.
func (m *Manager) Verdict(fingerprints []suspect.Fingerprint) suspect.Verdict {
	return m.ledger.Verdict(time.Now(), fingerprints)
}

// BeginAttempt registers an attempt that is about to be sent.
func (m *Manager) BeginAttempt(g limit.Grant, fingerprints []suspect.Fingerprint) {
	m.attempts.Set(g.ID, attempt{grant: g, fingerprints: fingerprints})
}

// EndAttempt removes an attempt. complete means that its response was complete,
// which clears its fingerprints.
func (m *Manager) EndAttempt(g limit.Grant, complete bool) {
	a, ok := m.attempts.Get(g.ID)
	if !ok {
		return
	}
	m.attempts.Delete(g.ID)
	if !complete {
		return
	}
	for _, fingerprint := range a.fingerprints {
		m.ledger.Answer(fingerprint)
	}
}

// ReportCrash records the crash of the grant's replica with all requests that this
// daemon has in flight on that incarnation, and reports it to the other daemons. It
// must be called before EndAttempt, and only if the target itself is known to be
// down.
func (m *Manager) ReportCrash(g limit.Grant) {
	c := suspect.Crash{Replica: g.Replica, Incarnation: g.Incarnation, FailureDomain: g.FailureDomain, At: time.Now()}
	m.attempts.Range(func(_ string, a attempt) bool {
		if a.grant.Replica == c.Replica && a.grant.Incarnation == c.Incarnation {
			c.Running = append(c.Running, a.fingerprints)
		}
		return true
	})
	m.addCrash(c)
	m.broadcast(c)
}

func (m *Manager) broadcast(c suspect.Crash) {
	for _, id := range m.members.Live() {
		if id == m.members.Self() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			// Delivery is best effort: a daemon that misses the report still records
			// the crashes that it detects itself.
			_ = m.caller.Call(ctx, m.members.Addr(id), &wire.CrashReport{Crash: c}, &wire.Ack{})
		}()
	}
}

// Handle records the crash reported by a message of TypeCrashReport.
func (m *Manager) Handle(_ context.Context, _ string, body []byte) (wire.Message, error) {
	report := &wire.CrashReport{}
	if err := wire.Unmarshal(body, report); err != nil {
		return nil, err
	}
	m.addCrash(report.Crash)
	return &wire.Ack{}, nil
}

// addCrash adds a crash to the histories of all requests that were in flight.
func (m *Manager) addCrash(c suspect.Crash) {
	now := time.Now()
	all, recent := m.mergeReport(c)
	for _, fingerprints := range c.Running {
		crashContext := suspect.Context{
			OtherSuspects: m.countOtherSuspects(now, &all, fingerprints),
			Outage:        suspect.IsOutage(&c, recent, fingerprints),
		}
		for _, fingerprint := range fingerprints {
			m.ledger.AddCrash(now, fingerprint, &c, crashContext)
		}
	}
}

// mergeReport merges a report into earlier reports of the same crash. It returns the
// crash with all requests known to have been in flight, and the crashes that were
// recent before this report.
func (m *Manager) mergeReport(c suspect.Crash) (suspect.Crash, []suspect.Crash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := append([]suspect.Crash(nil), m.recentCrashes...)
	for i := range m.recentCrashes {
		if recorded := &m.recentCrashes[i]; recorded.SameIncarnation(&c) {
			recorded.Running = append(append([][]suspect.Fingerprint(nil), recorded.Running...), c.Running...)
			return *recorded, recent
		}
	}
	if len(m.recentCrashes) == maxRecentCrashes {
		m.recentCrashes = m.recentCrashes[1:]
	}
	m.recentCrashes = append(m.recentCrashes, c)
	return c, recent
}

// countOtherSuspects returns the number of other requests in flight at crash c that
// were already suspects because of an earlier crash.
func (m *Manager) countOtherSuspects(now time.Time, c *suspect.Crash, fingerprints []suspect.Fingerprint) int {
	n := 0
	for _, other := range c.Running {
		if !suspect.Overlap(other, fingerprints) && m.suspectedBefore(now, c, other) {
			n++
		}
	}
	return n
}

func (m *Manager) suspectedBefore(now time.Time, c *suspect.Crash, fingerprints []suspect.Fingerprint) bool {
	for _, fingerprint := range fingerprints {
		if history, ok := m.ledger.History(fingerprint); ok && history.WithoutCrash(c).Verdict(now) != suspect.Clear {
			return true
		}
	}
	return false
}
