package record

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParse feeds arbitrary bytes to Parse: it must not panic, and a record that it
// accepts must survive a round trip through Marshal and Parse.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"kind":"Service","name":"x","schemaVersion":1,"spec":{"office":"o","preset":"quick","floorPercent":50}}`))
	f.Add([]byte(`{"kind":"Route","name":"x","schemaVersion":1,"spec":{"pathPrefix":"/","service":"s"}}`))
	f.Add([]byte(`{"kind":"Stop","name":"x","schemaVersion":1,"version":4,"spec":{"host":"h","reason":"r"}}`))
	f.Add([]byte(`{"kind":"Team"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Parse(data)
		if err != nil {
			return
		}
		value, err := Marshal(r.Key, r.Spec)
		assert.NilError(t, err)
		again, err := Parse(value)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.Spec, r.Spec)
	})
}

func TestSchemaVersionsSideBySide(t *testing.T) {
	v1, err := Parse([]byte(`{"kind":"Service","name":"x","schemaVersion":1,"spec":{"office":"o","preset":"quick","floorPercent":50}}`))
	assert.NilError(t, err)
	v2, err := Parse([]byte(`{"kind":"Service","name":"x","schemaVersion":2,"spec":{"office":"o","preset":"quick","floor":{"percent":50}}}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, v1.Spec, v2.Spec)

	_, err = Parse([]byte(`{"kind":"Service","name":"x","schemaVersion":3,"spec":{}}`))
	var tooNew *SchemaTooNewError
	assert.Assert(t, errors.As(err, &tooNew))
	assert.Equal(t, tooNew.Newest, 2)
}

func TestValidationErrorsNameFieldAndRemedy(t *testing.T) {
	for _, c := range []struct{ name, doc, want string }{
		{"preset", `{"kind":"Service","name":"x","schemaVersion":2,"spec":{"office":"o","preset":"fast","floor":{"percent":5}}}`, `write "quick"`},
		{"percent", `{"kind":"Service","name":"x","schemaVersion":2,"spec":{"office":"o","preset":"quick","floor":{"percent":101}}}`, "write 1 to 100"},
		{"unknown field", `{"kind":"Route","name":"x","schemaVersion":1,"spec":{"pathprefixx":"/"}}`, "unknown field"},
		{"path", `{"kind":"Route","name":"x","schemaVersion":1,"spec":{"pathPrefix":"a","service":"s"}}`, `starts with "/"`},
		{"name", `{"kind":"Route","name":"a b","schemaVersion":1,"spec":{}}`, "letters, digits"},
		{"burst", `{"kind":"Team","name":"x","schemaVersion":1,"spec":{"office":"o","burst":3}}`, "ratePerSecond"},
		{"no spec", `{"kind":"Team","name":"x","schemaVersion":1}`, "spec is missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.doc))
			assert.Assert(t, err != nil && strings.Contains(err.Error(), c.want), "%v", err)
		})
	}
}
