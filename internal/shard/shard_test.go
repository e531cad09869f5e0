package shard

import (
	"strconv"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

func TestGetSetUpdateDelete(t *testing.T) {
	m := NewMap[int]()
	_, ok := m.Get("a")
	must.False(t, ok)
	m.Set("a", 1)
	m.Update("a", func(v int, ok bool) (int, bool) { return v + 1, ok })
	v, ok := m.Get("a")
	must.True(t, ok)
	must.Eq(t, 2, v)
	m.Update("a", func(int, bool) (int, bool) { return 0, false })
	must.Eq(t, 0, m.Len())
	must.False(t, m.Delete("a"))
}

func TestUpdatesAreAtomicPerKey(t *testing.T) {
	m := NewMap[int]()
	const workers, updatesPerWorker = 8, 500
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range updatesPerWorker {
				m.Update("shared", func(v int, _ bool) (int, bool) { return v + 1, true })
				m.Set(strconv.Itoa(w*updatesPerWorker+i), i)
			}
		})
	}
	wg.Wait()
	v, _ := m.Get("shared")
	must.Eq(t, workers*updatesPerWorker, v)
	must.Eq(t, workers*updatesPerWorker+1, m.Len())
}

func TestChangedWakesWaiters(t *testing.T) {
	m := NewMap[int]()
	changed := m.Changed("k")
	go m.Set("k", 7)
	<-changed
	v, _ := m.Get("k")
	must.Eq(t, 7, v)
}

func TestRangeStopsWhenFnReturnsFalse(t *testing.T) {
	m := NewMap[int]()
	for i := range 100 {
		m.Set(strconv.Itoa(i), i)
	}
	n := 0
	m.Range(func(string, int) bool { n++; return n < 3 })
	must.Eq(t, 3, n)
}

func TestDeleteFuncWakesWaiters(t *testing.T) {
	m := NewMap[int]()
	m.Set("a", 1)
	m.Set("b", 2)
	changed := m.Changed("a")
	m.DeleteFunc(func(_ string, v int) bool { return v == 1 })
	must.Eq(t, 1, m.Len())
	select {
	case <-changed:
	default:
		t.Fatal("the channel for key \"a\" was not closed after DeleteFunc removed the key")
	}
	_, ok := m.Get("b")
	must.True(t, ok)
}

func TestGetOrMakeCallsFnOnce(t *testing.T) {
	m := NewMap[*int]()
	calls := 0
	newValue := func() *int {
		calls++
		return new(int)
	}
	first := m.GetOrMake("a", newValue)
	must.Eq(t, first, m.GetOrMake("a", newValue))
	must.Eq(t, 1, calls)
	got, ok := m.Get("a")
	must.True(t, ok)
	must.True(t, got == first)
}
