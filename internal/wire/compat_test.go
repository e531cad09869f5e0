package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// encodedTypes are the messages, records and datagrams that leave the process.
// The names are those of the golden file and independent of the Go types.
var encodedTypes = []struct {
	name string
	new  func() any
	// compact is set for datagrams, whose structs are encoded as arrays: the
	// order of the fields counts there, not their names.
	compact bool
}{
	{"error", func() any { return &Error{} }, false},
	{"challenge", func() any { return &Challenge{} }, false},
	{"proof", func() any { return &Proof{} }, false},
	{"welcome", func() any { return &Welcome{} }, false},
	{"ping", func() any { return &Ping{} }, false},
	{"acquire", func() any { return &Acquire{} }, false},
	{"acquired", func() any { return &AcquireResponse{} }, false},
	{"cancel", func() any { return &Cancel{} }, false},
	{"release", func() any { return &Release{} }, false},
	{"renew", func() any { return &Renew{} }, false},
	{"renewed", func() any { return &RenewResponse{} }, false},
	{"takeover", func() any { return &Takeover{} }, false},
	{"holdings", func() any { return &Holdings{} }, false},
	{"handover", func() any { return &Handover{} }, false},
	{"note", func() any { return &WitnessUpdate{} }, false},
	{"quarantine", func() any { return &CrashReport{} }, false},
	{"done", func() any { return &Ack{} }, false},
	{"once claim", func() any { return &OnceClaim{} }, false},
	{"once decision", func() any { return &OnceClaimResponse{} }, false},
	{"once record", func() any { return &OnceRecord{} }, false},
	{"once recorded", func() any { return &OnceRecordResponse{} }, false},
	{"nudge", func() any { return &PositionUpdate{} }, false},
	{"position ask", func() any { return &PositionRequest{} }, false},
	{"position answer", func() any { return &PositionResponse{} }, false},
	{"records ask", func() any { return &RecordsRequest{} }, false},
	{"records answer", func() any { return &RecordsResponse{} }, false},
	{"state ask", func() any { return &StateRequest{} }, false},
	{"state answer", func() any { return &StateResponse{} }, false},
	{"replicas ask", func() any { return &ReplicasRequest{} }, false},
	{"replicas answer", func() any { return &ReplicasResponse{} }, false},
	{"control record", func() any { return &state.Record{} }, false},
	{"control state", func() any { return &state.State{} }, false},
	{"snapshot chunk", func() any { return &SnapshotChunk{} }, false},
	{"keyed record", func() any { return &once.Record{} }, false},
	{"member datagram", func() any { return &memberMessage{} }, true},
	{"load datagram", func() any { return &LoadReport{} }, true},
	{"sums datagram", func() any { return &LoadSums{} }, true},
	{"leave datagram", func() any { return &LeaveNotices{} }, true},
	{"record request", func() any { return &RecordRequest{} }, true},
	{"demand datagram", func() any { return &DemandReport{} }, true},
	{"head query", func() any { return &HeadQuery{} }, true},
	{"head statement", func() any { return &HeadStatement{} }, true},
	{"push", func() any { return &RecordPush{} }, true},
	{"push part", func() any { return &PushPart{} }, true},
	{"zone notice", func() any { return &ZoneNotice{} }, true},
	{"late loads", func() any { return &LateLoads{} }, true},
	{"reservations", func() any { return &Reservations{} }, true},
	{"compact report", func() any { return &CompactReport{} }, true},
	{"identity notice", func() any { return &IdentityNotice{} }, true},
	{"tenant demand", func() any { return &TenantDemand{} }, true},
	{"relay part", func() any { return &RelayPart{} }, true},
	{"part request", func() any { return &PartRequest{} }, true},
}

// TestEncodingIsUnchanged guards against a renamed or moved field that changes
// what is written: most encoded types have no tags, so their Go names are the
// names on the wire, and a round trip within one build does not notice. The
// golden file holds, for each type, the names and the bytes with every field set.
func TestEncodingIsUnchanged(t *testing.T) {
	var out strings.Builder
	for _, tc := range encodedTypes {
		v := tc.new()
		n := 0
		fill(reflect.ValueOf(v).Elem(), &n, 0)
		encode := Marshal
		if tc.compact {
			encode = encodeCompact
		}
		b, err := encode(v)
		must.NoError(t, err)
		dec := msgpack.NewDecoder(bytes.NewReader(b))
		dec.SetMapDecoder(func(d *msgpack.Decoder) (any, error) { return d.DecodeUntypedMap() }) // some maps have numbers for keys
		generic, err := dec.DecodeInterface()
		must.NoError(t, err)
		var names []string
		collectNames(generic, "", &names)
		slices.Sort(names)
		fmt.Fprintf(&out, "%s\n  names: %s\n  bytes: %s\n", tc.name, strings.Join(names, " "), hex.EncodeToString(b))

		got := tc.new()
		must.NoError(t, Unmarshal(b, got))
		again, err := encode(got)
		must.NoError(t, err)
		must.True(t, bytes.Equal(b, again), must.Sprintf("%s is not decoded whole", tc.name))
	}
	goldie.New(t).Assert(t, "encoding", []byte(out.String()))
}

// TestEncodedTypesAreComplete checks that each message type is in the table.
func TestEncodedTypesAreComplete(t *testing.T) {
	types := map[Type]bool{}
	for _, tc := range encodedTypes {
		if m, ok := tc.new().(Message); ok {
			must.False(t, types[m.WireType()], must.Sprintf("%s is in the table twice", tc.name))
			types[m.WireType()] = true
		}
	}
	must.Eq(t, 30, len(types))
}

// TestDigestIsUnchanged guards against a renamed field of the control state: the
// digest hashes field names as well as values, and daemons of two builds at the
// same position must agree on it.
func TestDigestIsUnchanged(t *testing.T) {
	s := &state.State{}
	n := 0
	fill(reflect.ValueOf(s).Elem(), &n, 0)
	must.Eq(t, uint64(15160791008297571841), s.Digest())
	must.Eq(t, uint64(3091073216759284737), sampleState(t, len(sampleRecords())).Digest())
}

// fill sets every exported field to a value of its own; slices and maps get one
// element. Types that hold themselves end at a depth of 12.
func fill(v reflect.Value, n *int, depth int) {
	if depth > 12 {
		return
	}
	*n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n%100 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n%100 + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n, depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n, depth+1)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n, depth+1)
		fill(elem, n, depth+1)
		v.SetMapIndex(key, elem)
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Unix(int64(1000+*n), 5).UTC()))
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n, depth+1)
			}
		}
	}
}

// collectNames lists the names of all encoded fields as paths.
func collectNames(v any, path string, names *[]string) {
	switch v := v.(type) {
	case map[any]any:
		for key, value := range v {
			name := path + fmt.Sprint(key)
			*names = append(*names, name)
			collectNames(value, name+".", names)
		}
	case []any:
		for _, value := range v {
			collectNames(value, path, names)
		}
	}
}
