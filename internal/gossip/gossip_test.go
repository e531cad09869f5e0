package gossip

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/member"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

type staticKeys [][]byte

func (k staticKeys) Keys() [][]byte { return k }

var testKeys = staticKeys{[]byte("0123456789abcdef")}

// waitLimit bounds each wait of a test.
const waitLimit = 30 * time.Second

// testNode is a running Manager. kill stops it without an announcement that it
// leaves.
type testNode struct {
	*Manager
	stop  context.CancelFunc
	ended chan error
}

// startNode runs a Manager on a loopback port until the test ends. change, if
// not nil, adjusts its options.
func startNode(t testing.TB, id string, change func(*Options)) *testNode {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	o := Options{
		ID: id, Addr: conn.LocalAddr().String(), BootID: id + "-boot", Conn: conn, Keys: testKeys,
		Interval: 50 * time.Millisecond, ProbeTimeout: 25 * time.Millisecond,
	}
	if change != nil {
		change(&o)
	}
	m, err := New(o)
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{Manager: m, stop: stop, ended: make(chan error, 1)}
	go func() { n.ended <- m.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		n.ended <- <-n.ended
	})
	return n
}

// kill closes the socket under the manager, as the end of its process does.
func (n *testNode) kill() { _ = n.conn.Close() }

// withSeeds returns a change of the options that makes nodes the seeds.
func withSeeds(nodes ...*testNode) func(*Options) {
	return func(o *Options) {
		for _, n := range nodes {
			o.Seeds = append(o.Seeds, n.opt.Addr)
		}
	}
}

func waitLive(t *testing.T, n *testNode, want ...string) {
	t.Helper()
	limit := time.After(waitLimit)
	for {
		changed := n.Changed()
		if slices.Equal(n.Live(), want) {
			return
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("live set of %s is %v, want %v", n.Self(), n.Live(), want)
		}
	}
}

func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	limit := time.Now().Add(waitLimit)
	for !cond() {
		if time.Now().After(limit) {
			t.Fatalf("the condition did not hold within %s", waitLimit)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestLiveSetFollowsJoinLeaveAndKill(t *testing.T) {
	a := startNode(t, "a", nil)
	b := startNode(t, "b", withSeeds(a))
	c := startNode(t, "c", withSeeds(a))
	for _, n := range []*testNode{a, b, c} {
		waitLive(t, n, "a", "b", "c")
		test.Eq(t, a.Owner("pool/x"), n.Owner("pool/x"))
		test.Eq(t, b.opt.Addr, n.Addr("b"))
	}
	c.stop()
	waitLive(t, a, "a", "b")
	waitLive(t, b, "a", "b")
	must.NoError(t, <-c.ended)
	c.ended <- nil
	b.kill()
	waitLive(t, a, "a")
	test.Eq(t, "", a.Addr("b"))
	test.Error(t, <-b.ended)
	b.ended <- nil
}

func TestMetaReachesAllMembers(t *testing.T) {
	a := startNode(t, "a", nil)
	others := []*testNode{startNode(t, "b", withSeeds(a)), startNode(t, "c", withSeeds(a)), startNode(t, "d", withSeeds(a))}
	a.SetMeta(Meta{Epoch: 2, Offset: 17, Digest: 1 << 63, LogAge: 1500 * time.Millisecond})
	for _, n := range others {
		waitFor(t, func() bool { return n.Metas()["a"].Offset == 17 })
		got := n.Metas()["a"]
		test.Eq(t, Meta{Epoch: 2, Offset: 17, Digest: 1 << 63, LogAge: 1500 * time.Millisecond, UnixMS: got.UnixMS, UpdatedAt: got.UpdatedAt}, got)
	}
}

func TestAddPeerConnectsTwoDaemons(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.AddPeer("b", b.opt.Addr)
	waitLive(t, a, "a", "b")
	waitLive(t, b, "a", "b")
}

func TestKeysSeparateClustersAndRotate(t *testing.T) {
	older, newer := testKeys[0], []byte("fedcba9876543210")
	a := startNode(t, "a", func(o *Options) { o.Keys = staticKeys{older, newer} })
	b := startNode(t, "b", func(o *Options) { o.Keys = staticKeys{newer, older}; withSeeds(a)(o) })
	otherCluster := startNode(t, "c", func(o *Options) { o.Keys = staticKeys{[]byte("something else..")}; withSeeds(a)(o) })
	waitLive(t, a, "a", "b")
	waitLive(t, b, "a", "b")
	waitFor(t, func() bool { return a.Counters().Rejected > 2 })
	test.Eq(t, []string{"c"}, otherCluster.Live())
	test.Eq(t, []string{"a", "b"}, a.Live())
}

func TestOpenVerifiesDatagrams(t *testing.T) {
	key := testKeys[0]
	good := seal(key, []byte("body"))
	flipped := slices.Clone(good)
	flipped[2] ^= 1
	version := slices.Clone(good)
	version[0]++
	cases := []struct {
		name     string
		keys     staticKeys
		datagram []byte
		ok       bool
	}{
		{"valid", testKeys, good, true},
		{"previous key", staticKeys{[]byte("newer"), key}, good, true},
		{"other key", staticKeys{[]byte("newer")}, good, false},
		{"no key", nil, good, false},
		{"empty key", staticKeys{{}}, seal(nil, []byte("body")), false},
		{"flipped bit", testKeys, flipped, false},
		{"other version", testKeys, version, false},
		{"truncated", testKeys, good[:len(good)-1], false},
		{"empty", testKeys, nil, false},
		{"too long", testKeys, seal(key, make([]byte, wire.MaxDatagramBytes)), false},
	}
	for _, tc := range cases {
		body, ok := open(tc.keys, tc.datagram)
		test.Eq(t, tc.ok, ok, test.Sprint(tc.name))
		if ok {
			test.Eq(t, "body", string(body))
		}
	}
}

func TestLargestMessageFitsOneDatagram(t *testing.T) {
	long := func(n int) string { return string(make([]byte, n)) }
	node := member.Node{ID: long(member.MaxIDBytes), Addr: long(member.MaxAddrBytes), BootID: long(26), Incarnation: 1 << 60}
	msg := &member.Message{Kind: member.PingRequest, Seq: 1 << 60, Sender: node, Target: node.ID, TargetAddr: node.Addr}
	for range member.MaxUpdates {
		msg.Updates = append(msg.Updates, member.Update{Node: node, ReportedBy: node.ID})
	}
	for range member.MaxMetas {
		msg.Metas = append(msg.Metas, member.MetaUpdate{ID: node.ID, Meta: member.Meta{Offset: 1 << 60, Digest: 1 << 63, UnixMS: 1 << 50}})
	}
	b, err := wire.EncodeMember(msg, wire.MaxDatagramBytes-sealBytes)
	must.NoError(t, err)
	got, err := wire.DecodeMember(b)
	must.NoError(t, err)
	test.Eq(t, node, got.Sender)
	test.GreaterEq(t, 3, len(got.Updates))
}

func FuzzReceive(f *testing.F) {
	body, err := wire.EncodeMember(&member.Message{Kind: member.Ping, Sender: member.Node{ID: "b", Addr: "127.0.0.1:1", BootID: "b"}}, wire.MaxDatagramBytes)
	must.NoError(f, err)
	f.Add(body)
	f.Add([]byte("\xdd\xff\xff\xff\xff"))
	m, err := New(Options{ID: "a", Addr: "127.0.0.1:2", BootID: "a", Keys: testKeys, Conn: failingConn{}})
	must.NoError(f, err)
	f.Fuzz(func(_ *testing.T, body []byte) {
		m.handleDatagram(seal(testKeys[0], body))
	})
}

// failingConn is a connection on which every send fails.
type failingConn struct{ net.PacketConn }

func (failingConn) WriteTo([]byte, net.Addr) (int, error) {
	return 0, errors.New("send refused by failingConn")
}
