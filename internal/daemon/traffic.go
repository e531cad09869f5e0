package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// trafficInterval is the interval at which the traffic gauges are updated.
const trafficInterval = 5 * time.Second

// trafficGauges are the bytes received from and sent to other daemons.
type trafficGauges struct {
	gossipIn, gossipOut, peersIn, peersOut tally.Gauge
}

func newTrafficGauges(scope tally.Scope) trafficGauges {
	return trafficGauges{
		gossipIn: scope.Gauge("gossip_received_bytes"), gossipOut: scope.Gauge("gossip_sent_bytes"),
		peersIn: scope.Gauge("peers_received_bytes"), peersOut: scope.Gauge("peers_sent_bytes"),
	}
}

// updateTrafficGauges updates the traffic gauges until ctx is cancelled.
func (d *Daemon) updateTrafficGauges(ctx context.Context) error {
	t := newTrafficGauges(d.metrics.Scope())
	ticker := time.NewTicker(trafficInterval)
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
