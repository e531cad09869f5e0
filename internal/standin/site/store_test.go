package site

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestExpiredMemberRejoins guards against a group without members. When all
// members had expired, the one that renewed wasn't added again, and the store
// divided by zero members. Soak runs found it.
func TestExpiredMemberRejoins(t *testing.T) {
	g := &consumerGroup{renewedAt: map[string]time.Time{}, ttl: map[string]time.Duration{}}
	g.renew("a", time.Hour)
	firstGeneration := g.generation
	g.renew("a", time.Hour)
	must.Eq(t, firstGeneration, g.generation, must.Sprint("a renewal must not start a new generation"))
	g.renewedAt["a"] = time.Now().Add(-2 * time.Hour)
	g.renew("b", time.Hour)
	must.Eq(t, []string{"b"}, g.members)
	must.Greater(t, firstGeneration, g.generation)
	g.renewedAt["b"] = time.Now().Add(-2 * time.Hour)
	g.renew("a", time.Hour)
	must.Eq(t, []string{"a"}, g.members)
}

// TestRestoredStoreGivesOutOffsetsAgain guards the stand-in against a restore that tests
// less than the platform does: lost records, offsets that are assigned anew, 410 for an
// offset past the end, and a header that is absent before the first era.
func TestRestoredStoreGivesOutOffsetsAgain(t *testing.T) {
	s := NewStore()
	defer s.Close()
	read := func(from string) (status int, era string) {
		resp, err := http.Get("http://" + s.Addr() + "/log-read?topic=t&wait_ms=0&from=" + from)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		return resp.StatusCode, resp.Header.Get(eraHeader)
	}
	s.Put("t", "a", []byte("1"))
	status, era := read("0")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "", era)
	s.EnableEras()
	older := s.Snapshot()
	s.Put("t", "a", []byte("2"))
	s.Put("t", "b", []byte("3"))
	for _, want := range []string{"2", "3"} {
		s.Restore(older)
		must.Eq(t, "1", string(s.topics["t"].newestByKey["a"].value))
		status, era = read("3")
		must.Eq(t, http.StatusGone, status)
		must.Eq(t, want, era)
		s.Put("t", "c", []byte("4"))
		must.Eq(t, 1, s.topics["t"].newestByKey["c"].offset)
	}
}

// TestAnswersAreLimited guards the stand-in against answers that hold more than the
// platform's: a read of a part of the records states the true end, and the newest records
// come in pages.
func TestAnswersAreLimited(t *testing.T) {
	s := NewStore()
	defer s.Close()
	get := func(path string) []byte {
		resp, err := http.Get("http://" + s.Addr() + path)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, http.StatusOK, resp.StatusCode)
		return body
	}
	for i := range pageItems + 1 {
		s.Put("t", fmt.Sprintf("%04d", i), make([]byte, 1000))
	}
	body := get("/log-read?topic=t&wait_ms=0&from=1&max_kb=2")
	must.Eq(t, pageItems+1, binary.BigEndian.Uint64(body))
	must.Eq(t, readHeaderBytes+2*(4+1+4+1000), len(body))
	body = get("/log-read?topic=t&wait_ms=0&from=1&max_kb=1")
	must.Eq(t, readHeaderBytes+4+1+4+1000, len(body), must.Sprint("a read returns at least one record"))
	var page struct {
		Items []struct{ Key string }
		More  bool
	}
	must.NoError(t, json.Unmarshal(get("/log-newest?topic=t"), &page))
	must.Len(t, pageItems, page.Items)
	must.True(t, page.More)
	must.NoError(t, json.Unmarshal(get("/log-newest?topic=t&after="+page.Items[pageItems-1].Key), &page))
	must.Len(t, 1, page.Items)
	must.False(t, page.More)
}
