package suspect

import (
	"slices"
	"time"
)

const (
	// AbandonedTTL is how long after an attempt was given up an end of its engine is taken for
	// one under the attempt: the engine may have run it on.
	AbandonedTTL = time.Second
	// maxAbandoned bounds the abandoned attempts that are kept for one engine.
	maxAbandoned = 32
)

// Abandoned records that an attempt of this daemon was given up at EndedAt, before it had
// an answer and without a sign that its engine had ended.
func (w *Watch) Abandoned(e Exposure) {
	key := incarnationText(e.incarnation())
	w.abandoned.Update(key, func(list []Exposure, _ bool) ([]Exposure, bool) {
		list = slices.DeleteFunc(slices.Clone(list), func(o Exposure) bool { return e.EndedAt.Sub(o.EndedAt) > AbandonedTTL })
		list = append(list, e)
		return list[max(0, len(list)-maxAbandoned):], true
	})
	if w.abandonments.next()%crashesPerSweep == 0 {
		now := w.opts.Now()
		w.abandoned.DeleteFunc(func(_ string, list []Exposure) bool { return now.Sub(list[len(list)-1].EndedAt) > AbandonedTTL })
	}
}

// LastAbandoned returns the latest attempt that was abandoned at the incarnation of an
// engine within AbandonedTTL.
func (w *Watch) LastAbandoned(engine string, startMS int64) (Exposure, bool) {
	list, ok := w.abandoned.Get(incarnationText((&Exposure{Engine: engine, StartMS: startMS}).incarnation()))
	if !ok || w.opts.Now().Sub(list[len(list)-1].EndedAt) > AbandonedTTL {
		return Exposure{}, false
	}
	return list[len(list)-1], true
}

// exposeAbandoned adds the abandoned attempts at an engine that has ended.
func (w *Watch) exposeAbandoned(end *Exposure) {
	key := incarnationText(end.incarnation())
	list, _ := w.abandoned.Get(key)
	w.abandoned.Delete(key)
	for _, e := range list {
		if end.EndedAt.Sub(e.EndedAt) <= AbandonedTTL {
			e.EndedAt, e.Announced = end.EndedAt, end.Announced
			w.EngineEnded(e)
		}
	}
}
