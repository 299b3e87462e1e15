package cli

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/radishhoist/radishhoist/record"
)

// fieldChange is one field that differs between two records.
type fieldChange struct {
	Field string
	Old   string
	New   string
}

// absent is shown as the value of a missing field.
const absent = "(none)"

// diffRecord lists the spec fields that differ between a stored value, empty if there is
// none, and a record. Both are converted to the newest schema first.
func diffRecord(stored []byte, r *record.Record) ([]fieldChange, error) {
	var old record.Spec
	if len(stored) > 0 {
		rec, err := record.Parse(stored)
		if err != nil {
			return []fieldChange{{Field: "spec", Old: "cannot be read: " + err.Error(), New: "the new spec"}}, nil
		}
		old = rec.Spec
	}
	before, err := flatten(old)
	if err != nil {
		return nil, err
	}
	after, err := flatten(r.Spec)
	if err != nil {
		return nil, err
	}
	return diffFields(before, after), nil
}

func diffFields(before, after map[string]string) []fieldChange {
	var out []fieldChange
	for field, v := range after {
		old, ok := before[field]
		if !ok {
			old = absent
		}
		if old != v {
			out = append(out, fieldChange{field, old, v})
		}
	}
	for field, v := range before {
		if _, ok := after[field]; !ok {
			out = append(out, fieldChange{field, v, absent})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out
}

// flatten converts a spec to a map of dotted field names to JSON values.
func flatten(spec record.Spec) (map[string]string, error) {
	out := make(map[string]string)
	if spec == nil {
		return out, nil
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, err
	}
	flattenInto("", tree, out)
	return out, nil
}

func flattenInto(prefix string, tree map[string]any, out map[string]string) {
	for name, v := range tree {
		if sub, ok := v.(map[string]any); ok {
			flattenInto(prefix+name+".", sub, out)
			continue
		}
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(fmt.Sprint(v))
		}
		out[prefix+name] = string(text)
	}
}
