package mesh

import (
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// SendTrialRequest sends a request to the arbiter. It sets the sender.
func (m *Mesh) SendTrialRequest(arbiter string, r *wire.TrialRequest) {
	r.Sender, r.BootID = m.opts.Node, m.opts.BootID
	b, err := wire.EncodeTrialRequest(r)
	m.sendTo(arbiter, b, err)
}

// SendCrashNews sends the current news of engines that ended under requests to the named
// daemons, without waiting for the next round.
func (m *Mesh) SendCrashNews(names []string) {
	m.sendCrashNews(m.opts.Source.DaemonAddrs(), names)
}

// answerTrialRequest sends the handler's answer to a request of a peer.
func (m *Mesh) answerTrialRequest(r *wire.TrialRequest) {
	if reply := m.opts.Handler.HandleTrialRequest(r); reply != nil {
		b, err := wire.EncodeTrialReply(reply)
		m.sendTo(r.Sender, b, err)
	}
}

// sendTo sends an encoded datagram to a daemon.
func (m *Mesh) sendTo(name string, b []byte, err error) {
	if err != nil || len(b) > maxDatagram {
		klog.ErrorS(err, "datagram not sent: encoding failed or larger than one datagram", "to", name, "bytes", len(b))
		return
	}
	if addr, ok := m.opts.Source.DaemonAddrs()[name]; ok {
		m.write(b, addr)
	}
}
