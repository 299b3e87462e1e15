// Package record defines the records that operators write and those that the
// system itself stores, with the validation that the command line and the daemon
// share.
//
// A record is a JSON document with kind, name, schemaVersion and spec. Records of
// one kind may have different schema versions; Parse converts older ones to the
// newest Go type.
package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Kind is the type of a record.
type Kind string

// Kinds written by operators, then kinds written by the system.
const (
	KindService Kind = "Service"
	KindRoute   Kind = "Route"
	KindTeam    Kind = "Team"
	KindStop    Kind = "Stop"
	// KindConfiguration is a complete set of routes, services and teams in one record.
	KindConfiguration Kind = "Configuration"
	KindHost          Kind = "Host"
	KindShardMap      Kind = "ShardMap"
	KindStatus        Kind = "Status"
	// KindCrasher is a request that crashes the instances that run it.
	KindCrasher Kind = "Crasher"
)

// OperatorKinds are the kinds that operators write, in display order.
var OperatorKinds = []Kind{KindService, KindRoute, KindTeam, KindStop, KindConfiguration}

const (
	// MaxRecordBytes is the largest record that may be written, in bytes: the platform
	// stores values of up to 1 MB.
	MaxRecordBytes = 1 << 20
	// maxParsedBytes is the largest record that is read. It is larger than MaxRecordBytes
	// because a Configuration in a platform's own, more compact format grows when it
	// is converted to a record.
	maxParsedBytes = 16 << 20
)

// Key identifies one record.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as Kind/Name.
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
	// validate adds an error to f for every invalid field.
	validate(f *fieldErrors)
}

// Record is one parsed record.
type Record struct {
	Key
	SchemaVersion int
	// Version is the platform's version of the object, 0 before it is stored.
	// In an operator's file it is the version that the edit is based on.
	Version int64
	// Writer identifies the write that stored the record by its author and a nonce.
	Writer string
	Spec   Spec
}

// document is the JSON form of a record.
type document struct {
	Kind          Kind            `json:"kind"`
	Name          string          `json:"name"`
	SchemaVersion int             `json:"schemaVersion"`
	Version       int64           `json:"version,omitempty"`
	Writer        string          `json:"writer,omitempty"`
	Spec          json.RawMessage `json:"spec"`
}

// SchemaTooNewError is returned for a record whose schema version is newer than this program
// supports.
type SchemaTooNewError struct {
	Key    Key
	Got    int
	Newest int
}

// Error implements the error interface.
func (e *SchemaTooNewError) Error() string {
	return fmt.Sprintf("%s: schemaVersion %d is newer than %d, the newest this program reads; upgrade it, or write schemaVersion %d",
		e.Key, e.Got, e.Newest, e.Newest)
}

// InvalidError lists every invalid field of one record.
type InvalidError struct {
	Key         Key
	FieldErrors []FieldError
}

// FieldError describes one invalid field and what to write instead.
type FieldError struct {
	Field   string `json:"field"`
	Problem string `json:"wrong"`
	Remedy  string `json:"remedy"`
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.FieldErrors))
	for _, f := range e.FieldErrors {
		lines = append(lines, fmt.Sprintf("%s: spec.%s: %s; %s", e.Key, f.Field, f.Problem, f.Remedy))
	}
	return strings.Join(lines, "\n")
}

// fieldErrors collects the errors of one record.
type fieldErrors struct{ list []FieldError }

func (f *fieldErrors) add(field, problem, remedy string) {
	f.list = append(f.list, FieldError{Field: field, Problem: problem, Remedy: remedy})
}

// Parse decodes and validates one record. It returns a *SchemaTooNewError, an
// *InvalidError, or a plain error if the document cannot be decoded.
func Parse(value []byte) (*Record, error) {
	if len(value) > maxParsedBytes {
		return nil, errors.Errorf("record too large: %d bytes, limit %d bytes", len(value), maxParsedBytes)
	}
	var doc document
	if err := decodeStrict(value, &doc); err != nil {
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
	var f fieldErrors
	spec.validate(&f)
	if len(f.list) > 0 {
		return nil, &InvalidError{Key: key, FieldErrors: f.list}
	}
	return &Record{
		Key: key, SchemaVersion: doc.SchemaVersion, Version: doc.Version, Writer: doc.Writer, Spec: spec,
	}, nil
}

// Marshal encodes a record as it is stored: in the newest schema version and
// without the version field, which the platform stores separately.
func Marshal(key Key, spec Spec) ([]byte, error) {
	return MarshalWithWriter(key, spec, "")
}

// MarshalWithWriter is like Marshal and sets the writer field.
func MarshalWithWriter(key Key, spec Spec, writer string) ([]byte, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", key)
	}
	doc := document{Kind: key.Kind, Name: key.Name, SchemaVersion: newestSchema(key.Kind), Writer: writer, Spec: raw}
	return json.Marshal(doc)
}

// MarshalForEdit returns a stored record in the form that an operator edits: indented, with
// the version that the edit is based on and without the writer field.
func MarshalForEdit(value []byte, version int64) ([]byte, error) {
	var doc document
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, errors.Wrap(err, "decode stored record")
	}
	doc.Version, doc.Writer = version, ""
	return json.MarshalIndent(doc, "", "  ")
}

// WriterOf returns the writer field of a stored record, or "" if it has none or
// cannot be decoded.
func WriterOf(value []byte) string {
	var doc document
	if err := json.Unmarshal(value, &doc); err != nil {
		return ""
	}
	return doc.Writer
}

// maxNameBytes is the longest record name.
const maxNameBytes = 128

func checkName(k Key) error {
	if k.Name == "" || len(k.Name) > maxNameBytes {
		return errors.Errorf("%s: name has %d bytes; write 1 to %d", k, len(k.Name), maxNameBytes)
	}
	for _, r := range k.Name {
		if !isNameRune(r) {
			return errors.Errorf("%s: name contains %q; use only letters, digits, '.', '_' and '-'", k, r)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
}

func decodeStrict(value []byte, into any) error {
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
