package quarantine

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// cluster connects the managers of several daemons in one process. calls counts
// the crash reports in transit.
type cluster struct {
	nodes map[string]*node
	calls sync.WaitGroup
}

type node struct {
	id      string
	cluster *cluster
	manager *Manager
}

func newCluster(ids ...string) *cluster {
	n := &cluster{nodes: make(map[string]*node)}
	for _, id := range ids {
		o := &node{id: id, cluster: n}
		o.manager = New(o, o)
		n.nodes[id] = o
	}
	return n
}

func (n *node) Self() string          { return n.id }
func (n *node) Addr(id string) string { return id }

func (n *node) Live() []string {
	var ids []string
	for id := range n.cluster.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *node) Call(ctx context.Context, addr string, req, _ wire.Message) error {
	defer n.cluster.calls.Done()
	body, err := wire.Marshal(req)
	if err != nil {
		return err
	}
	_, err = n.cluster.nodes[addr].manager.Handle(ctx, n.id, body)
	return err
}

// crashReplica makes daemon id report the crash of the grant's replica and waits
// until all other daemons have recorded it.
func (n *cluster) crashReplica(id string, g limit.Grant) {
	n.calls.Add(len(n.nodes) - 1)
	n.nodes[id].manager.ReportCrash(g)
	n.calls.Wait()
}

func newGrant(id, replica string) limit.Grant {
	return limit.Grant{ID: id, Replica: replica, Incarnation: "i1", FailureDomain: "f-" + replica}
}

func contentFingerprints(s string) []suspect.Fingerprint {
	return Fingerprints("w", "k", "", []byte(s))
}

func TestFingerprints(t *testing.T) {
	plain := Fingerprints("w", "k", "", []byte("b"))
	keyed := Fingerprints("w", "k", "key", []byte("other"))
	again := Fingerprints("w", "k", "key", []byte("changed"))
	must.True(t, suspect.Overlap(plain, Fingerprints("w", "k", "x", []byte("b"))))
	must.True(t, suspect.Overlap(keyed, again))
	must.False(t, suspect.Overlap(plain, keyed))
	must.False(t, suspect.Overlap(plain, Fingerprints("v", "k", "", []byte("b"))))
}

func TestSecondCrashIsReportedToAllDaemons(t *testing.T) {
	n := newCluster("d1", "d2", "d3")
	for i, at := range []string{"d1", "d2"} {
		g := newGrant("g", []string{"a", "b"}[i])
		n.nodes[at].manager.BeginAttempt(g, contentFingerprints("poison"))
		n.crashReplica(at, g)
		n.nodes[at].manager.EndAttempt(g, false)
		for _, o := range n.nodes {
			must.Eq(t, []suspect.Verdict{suspect.Suspected, suspect.Refused}[i], o.manager.Verdict(contentFingerprints("poison")))
		}
	}
}

func TestBatchNeighboursAreNotQuarantined(t *testing.T) {
	n := newCluster("d1", "d2")
	d1, d2 := n.nodes["d1"].manager, n.nodes["d2"].manager
	first := newGrant("g1", "a")
	d1.BeginAttempt(first, contentFingerprints("poison"))
	d1.BeginAttempt(newGrant("g2", "a"), contentFingerprints("neighbour"))
	d1.BeginAttempt(newGrant("g3", "b"), contentFingerprints("elsewhere"))
	n.crashReplica("d1", first)
	must.Eq(t, suspect.Suspected, d2.Verdict(contentFingerprints("neighbour")))
	must.Eq(t, suspect.Clear, d2.Verdict(contentFingerprints("elsewhere")))

	// Both requests are sent again and share another replica. Neither can be
	// quarantined, since either may have caused the crash.
	both := newGrant("g4", "c")
	d2.BeginAttempt(both, contentFingerprints("poison"))
	d2.BeginAttempt(newGrant("g5", "c"), contentFingerprints("neighbour"))
	n.crashReplica("d2", both)
	must.Eq(t, suspect.Suspected, d1.Verdict(contentFingerprints("neighbour")))
	must.Eq(t, suspect.Suspected, d1.Verdict(contentFingerprints("poison")))

	// Each request now runs exclusively: the neighbour completes and is cleared,
	// the other one crashes its replica and is refused.
	d1.BeginAttempt(newGrant("g6", "d"), contentFingerprints("neighbour"))
	d1.EndAttempt(newGrant("g6", "d"), true)
	must.Eq(t, suspect.Clear, d1.Verdict(contentFingerprints("neighbour")))
	last := newGrant("g7", "e")
	d1.BeginAttempt(last, contentFingerprints("poison"))
	n.crashReplica("d1", last)
	must.Eq(t, suspect.Refused, d2.Verdict(contentFingerprints("poison")))
}
