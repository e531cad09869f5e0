package edge

import (
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// endedAvoidance is how long an incarnation that has ended is avoided. It does not come
// back, but the store may list it while it is down itself.
const endedAvoidance = time.Minute

// newWatch returns the daemon's watch of requests under which engines end.
func (d *Daemon) newWatch() *suspect.Watch {
	return suspect.NewWatch(suspect.Options{
		OnEnd:    d.noteEnd,
		OnChange: d.recordVerdict,
		Publish:  func() { d.mesh.SendNow() },
		PassesOn: func() bool { return d.meshAdapter.isStoreReader() },
		Now:      time.Now,
	})
}

// noteEnd makes requests avoid an engine that has ended, and the planner replace its
// group, before the store's list shows it: until then it seems idle and would be sent
// most requests.
func (d *Daemon) noteEnd(engine string, startMS int64) {
	d.meshAdapter.tracker.SetUnavailable(&catalog.Engine{ID: engine, StartUnixMS: startMS}, time.Now().Add(endedAvoidance))
	d.planner.Suspect(engine)
}

// recordVerdict counts a change of the verdict on a request or a part of prompts, and
// logs it if requests are refused for it or no longer are. Suspicions alone come and go
// with each end of an engine, for all requests that it had.
func (d *Daemon) recordVerdict(c suspect.Change) {
	d.stats.recordVerdict(c.To.String())
	if c.From != suspect.Refused && c.To != suspect.Refused {
		return
	}
	v := suspect.Ruling{Verdict: c.To, Fingerprint: c.Fingerprint, History: c.History}
	klog.InfoS("verdict changed", "fingerprint", suspect.Text(c.Fingerprint), "from", c.From.String(), "to", c.To.String(),
		"engines", v.Crashes(), "last_end_ms_ago", time.Since(c.History.LastCrashAt).Milliseconds(), "expires", c.History.ExpiresAt,
		"rivals", texts(c.Rivals))
}

func texts(list []suspect.Fingerprint) []string {
	out := make([]string, len(list))
	for i, f := range list {
		out[i] = suspect.Text(f)
	}
	return out
}

// CrashNews returns the news of engines that ended under requests.
func (g *meshAdapter) CrashNews() wire.CrashNews {
	news := g.d.watch.News()
	now := time.Now()
	out := wire.CrashNews{Answers: numbers(news.Answers), Hints: numbers(news.Hints)}
	for i := range news.Exposures {
		e := &news.Exposures[i]
		out.Exposures = append(out.Exposures, wire.CrashExposure{
			Engine: e.Engine, StartMS: e.StartMS, Request: uint64(e.Identity.Request), Parts: numbers(e.Identity.Parts),
			SentAgeUS: now.Sub(e.SentAt).Microseconds(), EndAgeUS: now.Sub(e.EndedAt).Microseconds(), Announced: e.Announced,
		})
	}
	for i := range news.Quarantines {
		out.Quarantines = append(out.Quarantines, encodeQuarantine(&news.Quarantines[i], now))
	}
	return out
}

// HandleCrashNews applies the news of another daemon.
func (g *meshAdapter) HandleCrashNews(n *wire.CrashNews) {
	now := time.Now()
	news := suspect.News{Answers: fingerprints(n.Answers), Hints: fingerprints(n.Hints)}
	for i := range n.Exposures {
		e := &n.Exposures[i]
		news.Exposures = append(news.Exposures, suspect.Exposure{
			Engine: e.Engine, StartMS: e.StartMS, Identity: suspect.Identity{Request: suspect.Fingerprint(e.Request), Parts: fingerprints(e.Parts)},
			SentAt: ago(now, e.SentAgeUS), EndedAt: ago(now, e.EndAgeUS), Announced: e.Announced,
		})
	}
	for i := range n.Quarantines {
		news.Quarantines = append(news.Quarantines, decodeQuarantine(&n.Quarantines[i], now))
	}
	g.d.watch.Apply(&news)
}

func ago(now time.Time, ageUS int64) time.Time {
	return now.Add(-time.Duration(ageUS) * time.Microsecond)
}

func encodeQuarantine(q *suspect.Quarantine, now time.Time) wire.Quarantine {
	out := wire.Quarantine{
		Fingerprint: uint64(q.Fingerprint), LastCrashAgeUS: now.Sub(q.LastCrashAt).Microseconds(), RemainingUS: q.ExpiresAt.Sub(now).Microseconds(),
		Rivals: numbers(q.Rivals),
	}
	for _, c := range q.Crashes {
		startMS, err := strconv.ParseInt(c.Incarnation, 10, 64)
		if err == nil {
			out.Crashes = append(out.Crashes, wire.CrashedEngine{Engine: c.Replica, StartMS: startMS})
		}
	}
	return out
}

func decodeQuarantine(q *wire.Quarantine, now time.Time) suspect.Quarantine {
	remaining := min(time.Duration(q.RemainingUS)*time.Microsecond, suspect.QuarantineTTL)
	out := suspect.Quarantine{Fingerprint: suspect.Fingerprint(q.Fingerprint), LastCrashAt: ago(now, q.LastCrashAgeUS), ExpiresAt: now.Add(remaining), Rivals: fingerprints(q.Rivals)}
	for _, c := range q.Crashes {
		out.Crashes = append(out.Crashes, suspect.Incarnation{Replica: c.Engine, Incarnation: strconv.FormatInt(c.StartMS, 10)})
	}
	return out
}

func numbers(list []suspect.Fingerprint) []uint64 {
	var out []uint64
	for _, f := range list {
		out = append(out, uint64(f))
	}
	return out
}

func fingerprints(list []uint64) []suspect.Fingerprint {
	var out []suspect.Fingerprint
	for _, n := range list {
		out = append(out, suspect.Fingerprint(n))
	}
	return out
}
