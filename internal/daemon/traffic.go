package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// trafficEvery is how often the page's traffic figures are brought up to date.
const trafficEvery = 5 * time.Second

// traffic shows the bytes exchanged with other daemons so far.
type traffic struct {
	gossipIn, gossipOut, peersIn, peersOut tally.Gauge
}

func newTraffic(scope tally.Scope) traffic {
	return traffic{
		gossipIn: scope.Gauge("gossip_received_bytes"), gossipOut: scope.Gauge("gossip_sent_bytes"),
		peersIn: scope.Gauge("peers_received_bytes"), peersOut: scope.Gauge("peers_sent_bytes"),
	}
}

// showTraffic keeps the figures up to date until ctx ends.
func (d *Daemon) showTraffic(ctx context.Context) error {
	t := newTraffic(d.metrics.Scope())
	ticker := time.NewTicker(trafficEvery)
	defer ticker.Stop()
	for {
		gossip, client, server := d.members.Counters(), d.client.Counters(), d.server.Counters()
		t.gossipIn.Update(float64(gossip.BytesIn))
		t.gossipOut.Update(float64(gossip.BytesOut))
		t.peersIn.Update(float64(client.BytesIn + server.BytesIn))
		t.peersOut.Update(float64(client.BytesOut + server.BytesOut))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
