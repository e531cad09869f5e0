package edge

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/mesh"
)

func TestChooseArbiter(t *testing.T) {
	small, large, largest := mesh.Peer{Name: "small", Capacity: 1}, mesh.Peer{Name: "large", Capacity: 2}, mesh.Peer{Name: "largest", Capacity: 3}
	collector := func(p mesh.Peer) mesh.Peer { p.Collector = true; return p }
	cases := []struct {
		name    string
		daemons []mesh.Peer
		without map[string]bool
		want    string
	}{
		{"alone", []mesh.Peer{small}, nil, "small"},
		{"the first collector", []mesh.Peer{collector(small), largest, collector(large)}, nil, "large"},
		{"the same one in another order", []mesh.Peer{collector(large), collector(small), largest}, nil, "large"},
		{"the first one does not answer", []mesh.Peer{collector(small), largest, collector(large)}, map[string]bool{"large": true}, "small"},
		{"no collector answers", []mesh.Peer{collector(small), largest, collector(large)}, map[string]bool{"large": true, "small": true}, ""},
		{"no collector yet", []mesh.Peer{small, largest, large}, nil, "largest"},
	}
	for _, c := range cases {
		got, ok := chooseArbiter(c.daemons, c.without)
		must.Eq(t, c.want, got, must.Sprint(c.name))
		must.Eq(t, c.want != "", ok, must.Sprint(c.name))
	}
}
