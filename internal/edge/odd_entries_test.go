package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

// TestOddEntriesDoNotStopTheFollowing writes entries of another writer among those of
// the engines, between and after changes of the latter. All daemons, the one that
// reads the store and the one that gets its pushes, must go on following the others.
func TestOddEntriesDoNotStopTheFollowing(t *testing.T) {
	const entry = `{"service":"ledger","address":%s,"zone":"a","slots":%s,"state":"ready","cold_remaining_ms":%s,"seq":1,"born":%s,"domain":"d0"}`
	odd := []string{
		strings.Repeat("[", 10_001),
		`{"x":` + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_001),
		fmt.Sprintf(entry, `"127.0.0.1:0"`, "4", "0", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:-1"`, "4", "0", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:65536"`, "4", "0", "1"),
		fmt.Sprintf(entry, `["127.0.0.1:80"]`, "4", "0", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:80"`, "1e300", "0", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:80"`, "4", "1e300", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:80"`, "4", "0", "99999999999999999999999"),
		`{"service":"` + strings.Repeat("ledger", 100_000) + `"}`,
		"\xff\x00",
		"0",
	}
	f := newFixture(t)
	f.publish(1, goodKey)
	first := f.addLedger()
	f.addDaemon()
	f.addDaemon()
	for n := range f.daemons {
		f.callUntil(n, "the first engine is used", func() bool { return len(first.ExecutedRequests()) > n })
	}
	for round := range 2 {
		for i, value := range odd {
			f.store.Put("keyed.servers", fmt.Sprint("odd-", i), []byte(value))
		}
		e := site.StartEngine(f.store, site.EngineConfig{ID: fmt.Sprint("late-", round), Service: site.PlainService, Zone: "a", Slots: 4})
		f.engines = append(f.engines, e)
		for i, value := range odd {
			f.store.Put("keyed.servers", fmt.Sprint("odd-", i), []byte(value))
		}
		for n := range f.daemons {
			before := len(e.ExecutedRequests())
			f.callUntil(n, "an engine that was announced among odd entries is used", func() bool { return len(e.ExecutedRequests()) > before })
		}
	}
	first.Close()
	for n := range f.daemons {
		eventually(t, "the engine that has left is not used", func() bool {
			return f.status(n, http.MethodPost, nonIdempotentPath, goodKey, "") == http.StatusOK
		})
	}
}
