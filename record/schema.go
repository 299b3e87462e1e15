package record

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// newestSchema returns the newest schema version that this program reads and writes.
func newestSchema(k Kind) int {
	if k == KindService {
		return 2
	}
	return 1
}

// parseSpec decodes a spec of any supported schema version into the newest Go type.
func parseSpec(key Key, version int, raw json.RawMessage) (Spec, error) {
	newest := newestSchema(key.Kind)
	if version < 1 {
		return nil, errors.Errorf("%s: schemaVersion %d is not valid; write %d", key, version, newest)
	}
	if version > newest {
		return nil, &SchemaTooNewError{Key: key, Got: version, Newest: newest}
	}
	if len(raw) == 0 {
		return nil, errors.Errorf("%s: spec is missing; see docs/operate/records.md for an example", key)
	}
	if key.Kind == KindService && version == 1 {
		return parseServiceV1(key, raw)
	}
	spec := newSpec(key.Kind)
	if err := decodeStrict(raw, spec); err != nil {
		return nil, errors.Wrapf(err, "%s: spec of schemaVersion %d", key, version)
	}
	return spec, nil
}

func newSpec(k Kind) Spec {
	switch k {
	case KindService:
		return &Service{}
	case KindRoute:
		return &Route{}
	case KindTeam:
		return &Team{}
	case KindStop:
		return &Stop{}
	case KindConfiguration:
		return &Configuration{}
	case KindHost:
		return &Host{}
	case KindShardMap:
		return &ShardMap{}
	case KindCrasher:
		return &Crasher{}
	default:
		return &Status{}
	}
}

// serviceV1 is schema version 1 of Service, whose floor is a single percentage.
type serviceV1 struct {
	Office       string `json:"office"`
	FloorPercent int    `json:"floorPercent"`
	Preset       string `json:"preset"`
}

func parseServiceV1(key Key, raw json.RawMessage) (Spec, error) {
	var v1 serviceV1
	if err := decodeStrict(raw, &v1); err != nil {
		return nil, errors.Wrapf(err, "%s: spec of schemaVersion 1", key)
	}
	return &Service{Office: v1.Office, Preset: v1.Preset, Floor: Floor{Percent: v1.FloorPercent}}, nil
}

// checkRange adds an error if got is not between low and high, inclusive.
func (f *fieldErrors) checkRange(field string, got, low, high int) {
	if got < low || got > high {
		f.add(field, strconv.Itoa(got)+" is out of bounds",
			"write "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}
