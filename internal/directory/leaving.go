package directory

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// leaveNotices holds the engines that have said in an answer that they leave. A
// notice binds one incarnation of an engine: announcements of the same start do not
// revoke it, since they may be older than the answer, and a later start does.
type leaveNotices struct {
	// byEngine holds the notices by engine id.
	byEngine *shard.Map[leaveNotice]
}

// leaveNotice is the start time of the incarnation that leaves, and when the notice
// was received.
type leaveNotice struct {
	startMS int64
	at      time.Time
}

const (
	// noticeRetention is how long the notice of an engine without an entry is kept.
	// A draining engine serves for seconds after its notice; its entry may come back
	// after an outage of the store.
	noticeRetention = 10 * time.Minute
	// maxNotices is the number of notices from which expired ones are deleted.
	maxNotices = 1024
)

// add records a notice and reports whether it is new.
func (n *leaveNotices) add(id string, startMS int64, now time.Time) bool {
	isNew := false
	n.byEngine.Update(id, func(old leaveNotice, ok bool) (leaveNotice, bool) {
		isNew = !ok || startMS > old.startMS
		if !isNew {
			return old, true
		}
		return leaveNotice{startMS, now}, true
	})
	if isNew && n.byEngine.Len() > maxNotices {
		n.byEngine.DeleteFunc(func(_ string, old leaveNotice) bool { return now.Sub(old.at) > noticeRetention })
	}
	return isNew
}

// binds reports whether the incarnation of an engine has said that it leaves.
func (n *leaveNotices) binds(id string, startMS int64) bool {
	old, ok := n.byEngine.Get(id)
	return ok && startMS <= old.startMS
}

// MarkLeaving records that the incarnation of an engine that started at startMS (Unix
// milliseconds) has said in an answer that it leaves. source names the request or
// the daemon that the notice came from. From then on the engine counts as draining.
// It reports whether the notice is new.
func (d *Directory) MarkLeaving(id string, startMS int64, source string) bool {
	if !d.leaving.add(id, startMS, time.Now()) {
		return false
	}
	klog.InfoS("engine leaves", "engine", id, "start_ms", startMS, "source", source)
	d.positions[EnginesTopic].withLock(func() {
		was, ok := d.engines.Get(id)
		if !ok || was.Draining || was.StartUnixMS > startMS {
			return
		}
		e := *was
		e.Draining = true
		log := &changeLog{}
		d.replaceEngine(was, &e, log)
		log.write()
		d.notify()
	})
	return true
}
