// Package record defines the records operators write and the objects the
// system keeps for itself, with the checks that the command line and the
// daemon share.
//
// A record is a JSON document with kind, name, schemaVersion and spec. Two
// schema versions of one kind may stand side by side; Parse reads either into
// the newest Go form.
package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Kind names a kind of record.
type Kind string

// The operators' kinds, then the system's own.
const (
	KindService Kind = "Service"
	KindRoute   Kind = "Route"
	KindTeam    Kind = "Team"
	KindStop    Kind = "Stop"
	// KindConfiguration is a whole set of routes and services in one record.
	KindConfiguration Kind = "Configuration"
	KindHost          Kind = "Host"
	KindShardMap      Kind = "ShardMap"
	KindStatus        Kind = "Status"
	// KindCrasher is a request that ends the instances that run it.
	KindCrasher Kind = "Crasher"
)

// OperatorKinds are the kinds that operators write, in display order.
var OperatorKinds = []Kind{KindService, KindRoute, KindTeam, KindStop, KindConfiguration}

const (
	// MaxSize bounds a record that is written, in bytes; the platform holds
	// values of 1 MB.
	MaxSize = 1 << 20
	// maxParsed bounds a record that is read, in bytes: a platform's own shorter
	// form of a Configuration grows when it is turned into a record.
	maxParsed = 16 << 20
)

// Key names one record.
type Key struct {
	Kind Kind
	Name string
}

// String gives the key as Kind/Name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// ParseKey is the inverse of Key.String.
func ParseKey(s string) (Key, error) {
	kind, name, ok := strings.Cut(s, "/")
	if !ok || name == "" {
		return Key{}, errors.Errorf("record key %q: want Kind/name, for example Service/plans", s)
	}
	k, err := ParseKind(kind)
	return Key{Kind: k, Name: name}, err
}

// ParseKind accepts a kind in any case, singular or plural.
func ParseKind(s string) (Kind, error) {
	want := strings.TrimSuffix(strings.ToLower(s), "s")
	for _, k := range append(OperatorKinds, KindHost, KindShardMap, KindStatus, KindCrasher) {
		if strings.TrimSuffix(strings.ToLower(string(k)), "s") == want {
			return k, nil
		}
	}
	return "", errors.Errorf("unknown kind %q: want service, route, team, stop, configuration, host, shardmap, status or crasher", s)
}

// Spec is the typed content of a record.
type Spec interface {
	// validate reports every fault found in the spec.
	validate(f *faults)
}

// Record is one parsed record.
type Record struct {
	Key
	SchemaVersion int
	// Version is the platform's version of the object, 0 before it is stored.
	// In an operator's file it is the version that the edit started from.
	Version int64
	// Writer marks the write that stored the record: who, and a nonce.
	Writer string
	Spec   Spec
}

// document is the JSON form.
type document struct {
	Kind          Kind            `json:"kind"`
	Name          string          `json:"name"`
	SchemaVersion int             `json:"schemaVersion"`
	Version       int64           `json:"version,omitempty"`
	Writer        string          `json:"writer,omitempty"`
	Spec          json.RawMessage `json:"spec"`
}

// TooNewError says a record has a schema version this program cannot read.
type TooNewError struct {
	Key    Key
	Got    int
	Newest int
}

// Error implements error.
func (e *TooNewError) Error() string {
	return fmt.Sprintf("%s: schemaVersion %d is newer than %d, the newest this program reads; upgrade it, or write schemaVersion %d",
		e.Key, e.Got, e.Newest, e.Newest)
}

// InvalidError lists every fault of one record.
type InvalidError struct {
	Key    Key
	Faults []Fault
}

// Fault is one field that is wrong and what to write instead.
type Fault struct {
	Field  string `json:"field"`
	Wrong  string `json:"wrong"`
	Remedy string `json:"remedy"`
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: spec.%s: %s; %s", e.Key, f.Field, f.Wrong, f.Remedy))
	}
	return strings.Join(lines, "\n")
}

type faults struct{ list []Fault }

func (f *faults) add(field, wrong, remedy string) {
	f.list = append(f.list, Fault{Field: field, Wrong: wrong, Remedy: remedy})
}

// Parse reads and checks one record. Its errors are *TooNewError,
// *InvalidError or a plain error for JSON that cannot be read; each says what
// to write instead.
func Parse(value []byte) (*Record, error) {
	if len(value) > maxParsed {
		return nil, errors.Errorf("record of %d bytes: the bound is %d", len(value), maxParsed)
	}
	var doc document
	if err := strictJSON(value, &doc); err != nil {
		return nil, errors.Wrap(err, "record is not a JSON document of kind, name, schemaVersion and spec")
	}
	kind, err := ParseKind(string(doc.Kind))
	if err != nil {
		return nil, err
	}
	key := Key{Kind: kind, Name: doc.Name}
	if err := checkName(key); err != nil {
		return nil, err
	}
	spec, err := parseSpec(key, doc.SchemaVersion, doc.Spec)
	if err != nil {
		return nil, err
	}
	var f faults
	spec.validate(&f)
	if len(f.list) > 0 {
		return nil, &InvalidError{Key: key, Faults: f.list}
	}
	return &Record{
		Key: key, SchemaVersion: doc.SchemaVersion, Version: doc.Version, Writer: doc.Writer, Spec: spec,
	}, nil
}

// Marshal gives the JSON form in the newest schema version, as it is stored:
// without version, which the platform keeps beside it.
func Marshal(key Key, spec Spec) ([]byte, error) {
	return MarshalBy(key, spec, "")
}

// MarshalBy is Marshal with the mark of the writer.
func MarshalBy(key Key, spec Spec, writer string) ([]byte, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", key)
	}
	doc := document{Kind: key.Kind, Name: key.Name, SchemaVersion: newestSchema(key.Kind), Writer: writer, Spec: raw}
	return json.Marshal(doc)
}

// Edit gives a stored record in the form that an operator edits: indented,
// with the version that the edit starts from.
func Edit(value []byte, version int64) ([]byte, error) {
	var doc document
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, errors.Wrap(err, "stored record")
	}
	doc.Version, doc.Writer = version, ""
	return json.MarshalIndent(doc, "", "  ")
}

// WriterOf reads the writer's mark of a stored record, "" where it has none.
func WriterOf(value []byte) string {
	var doc document
	if err := json.Unmarshal(value, &doc); err != nil {
		return ""
	}
	return doc.Writer
}

// maxName bounds a record's name, in bytes.
const maxName = 128

func checkName(k Key) error {
	if k.Name == "" || len(k.Name) > maxName {
		return errors.Errorf("%s: name has %d bytes; write 1 to %d", k, len(k.Name), maxName)
	}
	for _, r := range k.Name {
		if !nameRune(r) {
			return errors.Errorf("%s: name has %q; write letters, digits, '.', '_' and '-' only", k, r)
		}
	}
	return nil
}

func nameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
}

func strictJSON(value []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("more than one JSON value")
	}
	return nil
}
