package mesh

import (
	"math/rand/v2"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// maxWitnesses is the number of daemons that are asked about a head at a time. Others are
// asked the next time.
const maxWitnesses = 4

// AskAboutHead asks some daemons, chosen at random, whether they reach an engine. It sets
// the sender and the time of the query.
func (m *Mesh) AskAboutHead(q *wire.HeadQuery) {
	addrs := m.opts.Source.DaemonAddrs()
	q.Sender, q.SentNS = m.opts.Node, int64(boottime.Now())
	b, err := wire.EncodeHeadQuery(q)
	if err != nil || len(b) > maxDatagram {
		klog.ErrorS(err, "peers not asked about a head: encoding failed or larger than one datagram", "engine", q.Engine, "bytes", len(b))
		return
	}
	names := make([]string, 0, len(addrs))
	for name := range addrs {
		if name != m.opts.Node {
			names = append(names, name)
		}
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:min(len(names), maxWitnesses)] {
		m.write(b, addrs[name])
	}
}

// SendHeadStatement sends a statement to the daemon that asked for it.
func (m *Mesh) SendHeadStatement(to string, s *wire.HeadStatement) {
	s.Sender = m.opts.Node
	b, err := wire.EncodeHeadStatement(s)
	if err != nil || len(b) > maxDatagram {
		klog.ErrorS(err, "statement about a head not sent: encoding failed or larger than one datagram", "engine", s.Engine, "bytes", len(b))
		return
	}
	if addr, ok := m.opts.Source.DaemonAddrs()[to]; ok {
		m.write(b, addr)
	}
}
