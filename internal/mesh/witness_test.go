package mesh

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// TestWitnessesOfAHeadAreOthersEachTime asks about a head until all daemons of a fleet
// have been asked, a few at a time, and sends a statement back.
func TestWitnessesOfAHeadAreOthersEachTime(t *testing.T) {
	const peers = 12
	addrs := map[string]string{}
	names := []string{"asker"}
	for n := range peers {
		names = append(names, fmt.Sprint("peer-", n))
	}
	for _, name := range names {
		l, err := net.ListenPacket("udp", "127.0.0.1:0")
		must.NoError(t, err)
		addrs[name] = l.LocalAddr().String()
		must.NoError(t, l.Close())
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	no := func() bool { return false }
	meshes := map[string]*Mesh{}
	queries := make(chan *wire.HeadQuery, 1000)
	statements := make(chan *wire.HeadStatement, 1000)
	for _, name := range names {
		d := &testDaemon{addrs: addrs, headQueries: queries, headStatements: statements}
		m := New(Options{Node: name, BootID: "b", Addr: addrs[name], Source: d, Handler: d, IsCollector: no, IsRanked: no})
		meshes[name] = m
		go func() { _ = m.Run(ctx) }()
	}
	for _, m := range meshes {
		for m.conn.Load() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	for range 100 {
		meshes["asker"].AskAboutHead(&wire.HeadQuery{Engine: "i-1", StartMS: 7, Service: "s", Addr: "127.0.0.1:1"})
		for range maxWitnesses {
			select {
			case q := <-queries:
				must.Eq(t, "asker", q.Sender)
				meshes["peer-0"].SendHeadStatement(q.Sender, &wire.HeadStatement{EchoNS: q.SentNS, Engine: q.Engine, StartMS: q.StartMS, State: "open"})
			case <-time.After(20 * time.Second):
				t.Fatal("no query has arrived")
			}
			select {
			case s := <-statements:
				must.Eq(t, "peer-0", s.Sender)
				must.Eq(t, "i-1", s.Engine)
				must.Positive(t, s.EchoNS)
			case <-time.After(20 * time.Second):
				t.Fatal("no statement has arrived")
			}
		}
		must.Zero(t, len(queries), must.Sprint("more daemons asked than are to be at a time"))
	}
}
