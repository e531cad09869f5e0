package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/view"
)

const testTimeout = 30 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func poolEdit(name string, base uint64) *state.Record {
	p := table.Pool{Name: name, Kind: table.Services, GroupSize: 1, VMs: []string{"a"}, Limit: 8, ColdLimit: 1}
	return &state.Record{Author: "op", Edit: &state.Edit{Changes: []state.Change{{Base: base, SetPool: &p}}}}
}

func start(t *testing.T, ctx context.Context, opts Options) *Manager {
	t.Helper()
	if opts.View == nil {
		opts.View = view.New()
	}
	m := New(opts)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m
}

func TestSubmitReturnsTheVerdictOfItsOwnRecord(t *testing.T) {
	ctx := testContext(t)
	log := newFakeLog()
	m := start(t, ctx, Options{Self: "d1", Log: log})

	first, err := m.Submit(ctx, poolEdit("p", 0))
	must.NoError(t, err)
	must.True(t, first.Accepted)

	loser, err := m.Submit(ctx, poolEdit("p", 0))
	must.NoError(t, err)
	must.False(t, loser.Accepted)
	must.Eq(t, 1, loser.Winner.Revision)
	must.True(t, m.Caught())
}

func TestSubmitAfterLostAnswersActsOnce(t *testing.T) {
	ctx := testContext(t)
	log := newFakeLog()
	log.loseAnswers = 1
	m := start(t, ctx, Options{Log: log})

	v, err := m.Submit(ctx, poolEdit("p", 0))
	must.NoError(t, err)
	must.True(t, v.Accepted)
	row, _ := m.opts.View.Pool("p")
	must.Eq(t, 1, row.Stamp.Revision)
}

func TestSubmitRefusedByTheLogIsNotRun(t *testing.T) {
	ctx := testContext(t)
	log := newFakeLog()
	log.refuse = true
	m := start(t, ctx, Options{Log: log})

	_, err := m.Submit(ctx, poolEdit("p", 0))
	must.Eq(t, fault.NotRun, fault.As(err).Outcome)
	must.True(t, fault.Is(err, fault.LogDown))
}
