package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// groupDecoder decodes the values "SERVICE EPOCH RANK STATE" of engines that are
// members of the group gEPOCH, or of none if EPOCH is 0.
type groupDecoder struct{ textDecoder }

func (groupDecoder) Engine(r Record) (*catalog.Engine, error) {
	e := &catalog.Engine{ID: r.Key, StartUnixMS: 1, HeartbeatSeq: int64(r.Offset), Model: "m", Addr: "a:1"}
	var epoch int64
	var rank, state int
	if _, err := fmt.Sscanf(string(r.Value), "%s %d %d %d", &e.Service, &epoch, &rank, &state); err != nil {
		return nil, errUnknownRecord
	}
	if epoch > 0 {
		e.Membership = catalog.Membership{Group: catalog.GroupID{Name: fmt.Sprint("g", epoch), Epoch: epoch}, Rank: rank, State: catalog.GroupState(state)}
	}
	return e, nil
}

func groupService(name string, size int) catalog.Service {
	return catalog.Service{Name: name, Engine: &catalog.EngineSpec{Models: []catalog.Model{{Name: "m", GroupSize: size}}}}
}

func newGroupDirectory(services ...catalog.Service) *Directory {
	d := New(Options{Decoder: groupDecoder{}})
	byName := map[string]catalog.Service{}
	for _, s := range services {
		byName[s.Name] = s
	}
	d.applyConfig(&catalog.Config{Version: 1, Services: byName})
	return d
}

// TestViewsEqualGroupsBuiltAnew applies random announcements, removals and
// configurations, and compares the views with groups built from all engines.
func TestViewsEqualGroupsBuiltAnew(t *testing.T) {
	r := rand.New(rand.NewPCG(20261205, 1))
	services := map[string]catalog.Service{"a": groupService("a", 3), "b": groupService("b", 4)}
	d := newGroupDirectory(services["a"], services["b"])
	for offset := range 3000 {
		key := fmt.Sprint("i-", r.IntN(24))
		switch r.IntN(12) {
		case 0:
			d.applyEngines([]Record{rec(uint64(offset), key, "")}, false)
		case 1:
			d.applyEngines([]Record{rec(uint64(offset), key, "{")}, false)
		case 2:
			if r.IntN(20) == 0 {
				size := 2 + r.IntN(4)
				services = map[string]catalog.Service{"a": groupService("a", size), "b": groupService("b", size+1)}
				d.applyConfig(&catalog.Config{Version: int64(offset), Services: services})
			}
		default:
			value := fmt.Sprintf("%c %d %d %d", 'a'+rune(r.IntN(2)), r.IntN(6), r.IntN(4), 1+r.IntN(5))
			d.applyEngines([]Record{rec(uint64(offset), key, value)}, false)
		}
		for name, service := range services {
			var engines []*catalog.Engine
			d.engines.Range(func(_ string, e *catalog.Engine) bool {
				if e.Service == name {
					engines = append(engines, e)
				}
				return true
			})
			slices.SortFunc(engines, func(a, b *catalog.Engine) int { return strings.Compare(a.ID, b.ID) })
			view, ok := d.Service(name)
			must.True(t, ok)
			must.Eq(t, service, *view.Service)
			must.True(t, slices.Equal(engines, view.Engines), must.Sprint("engines at ", offset))
			must.Eq(t, catalog.BuildGroups(&service, engines), view.Groups, must.Sprint("groups at ", offset))
		}
	}
}

// TestViewIsKeptUntilAChange checks that a view is built once, and that views that
// were handed out do not change.
func TestViewIsKeptUntilAChange(t *testing.T) {
	d := newGroupDirectory(groupService("a", 2))
	d.applyEngines([]Record{rec(1, "i-1", "a 1 0 3"), rec(2, "i-2", "a 1 1 2")}, false)
	first, _ := d.Service("a")
	again, _ := d.Service("a")
	must.True(t, first == again)
	must.True(t, first.Groups[0].Serving())
	d.applyEngines([]Record{rec(3, "i-1", "a 1 0 2"), rec(4, "i-2", "")}, false)
	must.True(t, first.Groups[0].Serving())
	must.Len(t, 2, first.Engines)
	now, _ := d.Service("a")
	must.False(t, now.Groups[0].Serving())
	d.applyConfig(&catalog.Config{Version: 2})
	_, ok := d.Service("a")
	must.False(t, ok, must.Sprint("a service that is no longer configured"))
}

// TestWorkPerAnnouncementIsIndependentOfFleetSize counts allocated objects, since
// each daemon applies each announcement of the fleet.
func TestWorkPerAnnouncementIsIndependentOfFleetSize(t *testing.T) {
	const size = 8
	allocs := func(engines int) float64 {
		d := newGroupDirectory(groupService("a", size))
		var records []Record
		for i := range engines {
			records = append(records, rec(uint64(i), fmt.Sprintf("i-%04d", i), fmt.Sprintf("a %d %d 3", 1+i/size, i%size)))
		}
		d.applyEngines(records, false)
		offset := uint64(engines)
		return testing.AllocsPerRun(100, func() {
			offset++
			d.applyEngines([]Record{rec(offset, "i-0003", "a 1 3 3")}, false)
		})
	}
	must.InDelta(t, allocs(72), allocs(1096), 2)
}

func BenchmarkAnnouncement(b *testing.B) {
	for _, engines := range []int{70, 300, 1095} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d := newGroupDirectory(groupService("a", 8))
			for i := range engines {
				d.applyEngines([]Record{rec(uint64(i), fmt.Sprintf("i-%04d", i), fmt.Sprintf("a %d %d 3", 1+i/8, i%8))}, false)
			}
			offset := uint64(engines)
			for b.Loop() {
				offset++
				d.applyEngines([]Record{rec(offset, "i-0003", "a 1 3 3")}, false)
			}
		})
	}
}
