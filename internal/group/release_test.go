package group

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRelease(t *testing.T) {
	const long = 20 * time.Second
	unloadAcked := func(o *Observation) {
		o.LastOrder, o.LastOrderAt, o.LastOrderAcked = Order{Fence: 100}, testNow.Add(-long), true
	}
	cases := []struct {
		name string
		set  func(*Snapshot)
		want []string
	}{
		{"free after an acknowledged unload order", func(s *Snapshot) {
			s.endReservation("v00", 100, long)
			s.setFree("v00")
			s.updateObservation("v00", unloadAcked)
		}, []string{"release v00 100: reports itself free"}},
		{"a load order may be in flight", func(s *Snapshot) {
			s.endReservation("v00", 100, MaxOrderAge-time.Millisecond)
			s.setFree("v00")
			s.updateObservation("v00", unloadAcked)
		}, nil},
		{"free, but without proof that it refuses old orders", func(s *Snapshot) {
			s.endReservation("v00", 100, long)
			s.setFree("v00")
		}, []string{"unload v00 100"}},
		{"rebooted and free", func(s *Snapshot) {
			s.endReservation("v00", 100, long)
			s.updateObservation("v00", func(o *Observation) { o.Report = Report{BootID: "v00-1"} })
		}, []string{"release v00 100: new boot id v00-1, free"}},
		{"still ready", func(s *Snapshot) { s.endReservation("v00", 100, long) }, []string{"unload v00 100"}},
		{"unresponsive", func(s *Snapshot) {
			s.endReservation("v00", 100, long)
			s.setFailing("v00", long, false)
		}, nil},
		{"unresponsive and unlisted for less than RemovedAfter", func(s *Snapshot) {
			s.endReservation("v00", 100, long)
			s.setFailing("v00", long, false)
			s.updateVM("v00", func(v *VM) { v.UnlistedSince = testNow.Add(-time.Second) })
		}, nil},
		{"unresponsive and unlisted for longer than RemovedAfter", func(s *Snapshot) {
			s.endReservation("v00", 100, long)
			s.setFailing("v00", long, false)
			s.updateVM("v00", func(v *VM) { v.UnlistedSince = testNow.Add(-long) })
		}, []string{"release v00 100: gone from the VM list"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := testSnapshot(1, 2, 2)
			s.Groups = nil
			delete(s.Reservations, "v01")
			s.setFree("v01")
			c.set(&s)
			if c.want == nil {
				c.want = []string{}
			}
			must.Eq(t, c.want, formatActions(Plan(s, DefaultPolicy())))
		})
	}
}
