package group

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRelease(t *testing.T) {
	const long = 20 * time.Second
	told := func(o *Observation) {
		o.LastOrder, o.LastOrderAt, o.LastOrderAcked = Order{Fence: 100}, testNow.Add(-long), true
	}
	cases := []struct {
		name string
		set  func(*Snapshot)
		want []string
	}{
		{"free by an order of ours", func(s *Snapshot) {
			s.end("v00", 100, long)
			s.free("v00")
			s.observe("v00", told)
		}, []string{"release v00 100: reports itself free"}},
		{"an order may be under way", func(s *Snapshot) {
			s.end("v00", 100, MaxOrderAge-time.Millisecond)
			s.free("v00")
			s.observe("v00", told)
		}, nil},
		{"free, but it may take an old order still", func(s *Snapshot) {
			s.end("v00", 100, long)
			s.free("v00")
		}, []string{"unload v00 100"}},
		{"booted anew", func(s *Snapshot) {
			s.end("v00", 100, long)
			s.observe("v00", func(o *Observation) { o.Report = Report{BootID: "v00-1"} })
		}, []string{"release v00 100: new boot id v00-1, free"}},
		{"still ready", func(s *Snapshot) { s.end("v00", 100, long) }, []string{"unload v00 100"}},
		{"silent", func(s *Snapshot) {
			s.end("v00", 100, long)
			s.missed("v00", long, false)
		}, nil},
		{"silent and just off the list", func(s *Snapshot) {
			s.end("v00", 100, long)
			s.missed("v00", long, false)
			s.list("v00", func(v *VM) { v.UnlistedSince = testNow.Add(-time.Second) })
		}, nil},
		{"gone", func(s *Snapshot) {
			s.end("v00", 100, long)
			s.missed("v00", long, false)
			s.list("v00", func(v *VM) { v.UnlistedSince = testNow.Add(-long) })
		}, []string{"release v00 100: gone from the VM list"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scene(1, 2, 2)
			s.Groups = nil
			delete(s.Reservations, "v01")
			s.free("v01")
			c.set(&s)
			if c.want == nil {
				c.want = []string{}
			}
			must.Eq(t, c.want, digest(Plan(s, DefaultPolicy())))
		})
	}
}
