package quarantine

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/retry"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// net joins managers in one process and waits for their messages.
type net struct {
	nodes map[string]*node
	sent  sync.WaitGroup
}

type node struct {
	id  string
	net *net
	m   *Manager
}

func newNet(ids ...string) *net {
	n := &net{nodes: make(map[string]*node)}
	for _, id := range ids {
		o := &node{id: id, net: n}
		o.m = New(o, o)
		n.nodes[id] = o
	}
	return n
}

func (n *node) Self() string          { return n.id }
func (n *node) Addr(id string) string { return id }

func (n *node) Live() []string {
	var ids []string
	for id := range n.net.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *node) Call(ctx context.Context, addr string, req, _ wire.Message) error {
	defer n.net.sent.Done()
	body, err := wire.Marshal(req)
	if err != nil {
		return err
	}
	_, err = n.net.nodes[addr].m.Handle(ctx, n.id, body)
	return err
}

// crash lets the replica crash under one daemon and waits until all know.
func (n *net) crash(id string, g limit.Grant) {
	n.sent.Add(len(n.nodes) - 1)
	n.nodes[id].m.ReportCrash(g)
	n.sent.Wait()
}

func grant(id, replica string) limit.Grant {
	return limit.Grant{ID: id, Replica: replica, Incarnation: "i1", FailureDomain: "f-" + replica}
}

func body(s string) []retry.Fingerprint { return Fingerprints("w", "k", "", []byte(s)) }

func TestPrints(t *testing.T) {
	plain := Fingerprints("w", "k", "", []byte("b"))
	keyed := Fingerprints("w", "k", "key", []byte("other"))
	again := Fingerprints("w", "k", "key", []byte("changed"))
	must.True(t, retry.Overlap(plain, Fingerprints("w", "k", "x", []byte("b"))))
	must.True(t, retry.Overlap(keyed, again))
	must.False(t, retry.Overlap(plain, keyed))
	must.False(t, retry.Overlap(plain, Fingerprints("v", "k", "", []byte("b"))))
}

func TestSecondCrashIsLearntByAll(t *testing.T) {
	n := newNet("d1", "d2", "d3")
	for i, at := range []string{"d1", "d2"} {
		g := grant("g", []string{"a", "b"}[i])
		n.nodes[at].m.BeginAttempt(g, body("poison"))
		n.crash(at, g)
		n.nodes[at].m.EndAttempt(g, false)
		for _, o := range n.nodes {
			must.Eq(t, []retry.Verdict{retry.Suspected, retry.Refused}[i], o.m.Verdict(body("poison")))
		}
	}
}

func TestNeighboursAreNotBlamed(t *testing.T) {
	n := newNet("d1", "d2")
	d1, d2 := n.nodes["d1"].m, n.nodes["d2"].m
	first := grant("g1", "a")
	d1.BeginAttempt(first, body("poison"))
	d1.BeginAttempt(grant("g2", "a"), body("neighbour"))
	d1.BeginAttempt(grant("g3", "b"), body("elsewhere"))
	n.crash("d1", first)
	must.Eq(t, retry.Suspected, d2.Verdict(body("neighbour")))
	must.Eq(t, retry.Clear, d2.Verdict(body("elsewhere")))

	// Both come again and meet on another replica: neither can be blamed yet.
	both := grant("g4", "c")
	d2.BeginAttempt(both, body("poison"))
	d2.BeginAttempt(grant("g5", "c"), body("neighbour"))
	n.crash("d2", both)
	must.Eq(t, retry.Suspected, d1.Verdict(body("neighbour")))
	must.Eq(t, retry.Suspected, d1.Verdict(body("poison")))

	// Each runs alone.
	d1.BeginAttempt(grant("g6", "d"), body("neighbour"))
	d1.EndAttempt(grant("g6", "d"), true)
	must.Eq(t, retry.Clear, d1.Verdict(body("neighbour")))
	last := grant("g7", "e")
	d1.BeginAttempt(last, body("poison"))
	n.crash("d1", last)
	must.Eq(t, retry.Refused, d2.Verdict(body("poison")))
}
