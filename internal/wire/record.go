package wire

import (
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// MaxRecordBytes is the maximum size of one record of the platform's log.
const MaxRecordBytes = 1 << 20

// EncodeRecord encodes a record of the control stream.
func EncodeRecord(r *state.Record) ([]byte, error) { return Marshal(r) }

// DecodeRecord decodes a record of the control stream.
func DecodeRecord(b []byte) (*state.Record, error) {
	var r state.Record
	if err := Unmarshal(b, &r); err != nil {
		return nil, err
	}
	return &r, nil
}

// EncodeState encodes a snapshot of the control state.
func EncodeState(s *state.State) ([]byte, error) { return Marshal(s) }

// DecodeState decodes a snapshot of the control state.
func DecodeState(b []byte) (*state.State, error) {
	s := state.New()
	if err := Unmarshal(b, s); err != nil {
		return nil, err
	}
	s.InitMaps()
	return s, nil
}
