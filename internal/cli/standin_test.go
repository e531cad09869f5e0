package cli

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
)

func TestVMLayoutInBlocks(t *testing.T) {
	f := fleetFlags{Host: "127.0.0.1", BasePort: 9000, Count: 10, Prefix: "vm", Domains: "a,b", FabricSize: 4}
	vms, err := f.layoutVMs()
	must.NoError(t, err)
	must.Len(t, 10, vms)
	for i, want := range []string{"a a-f0", "a a-f0", "a a-f0", "a a-f0", "a a-f1", "b b-f0", "b b-f0", "b b-f0", "b b-f0", "b b-f1"} {
		must.Eq(t, want, vms[i].FailureDomain+" "+vms[i].FabricDomain, must.Sprint(i))
	}
	must.Eq(t, "vm-9", vms[9].ID)
	must.Eq(t, "127.0.0.1:9009", vms[9].Addr)
}

func TestVMLayoutDefaults(t *testing.T) {
	vms, err := fleetFlags{Host: "127.0.0.1", Count: 1, Domains: "a"}.layoutVMs()
	must.NoError(t, err)
	must.Eq(t, "a", vms[0].FabricDomain)
	must.Eq(t, "127.0.0.1:0", vms[0].Addr)
	_, err = fleetFlags{Count: 0, Domains: "a"}.layoutVMs()
	must.True(t, fault.Is(err, fault.BadInput))
}

func TestCapacityFlagsWithDefaults(t *testing.T) {
	d := capacity.Settings{ColdLimit: 2, WarmLimit: 32}
	must.Eq(t, capacity.Settings{ColdLimit: 2, WarmLimit: 32, GrowthPerRequest: 1, QueueLimit: 5}, capacityFlags{GrowPerDone: 1, QueueLength: 5}.withDefaults(d))
	must.Eq(t, capacity.Settings{ColdLimit: 1, WarmLimit: 9}, capacityFlags{ColdLimit: 1, WarmLimit: 9}.withDefaults(d))
}

func TestParseLink(t *testing.T) {
	o, err := parseLink("a=udp,127.0.0.1:0,127.0.0.1:9")
	must.NoError(t, err)
	must.Eq(t, faultproxy.LinkOptions{Name: "a", Network: faultproxy.UDP, Listen: "127.0.0.1:0", Target: "127.0.0.1:9"}, o)
	for _, bad := range []string{"", "a", "=tcp,x,y", "a=tcp,x"} {
		_, err := parseLink(bad)
		must.True(t, fault.Is(err, fault.BadInput), must.Sprint(bad))
	}
}
