package cli

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/radishhoist/radishhoist/record"
)

// change is one field that differs between two records.
type change struct {
	Field string
	Old   string
	New   string
}

// absent stands for a field that is not there.
const absent = "(none)"

// diffRecord lists the fields of the spec that differ between a stored value,
// empty for none, and a record. Both are compared in the newest schema.
func diffRecord(stored []byte, r *record.Record) ([]change, error) {
	var old record.Spec
	if len(stored) > 0 {
		rec, err := record.Parse(stored)
		if err != nil {
			return []change{{Field: "spec", Old: "cannot be read: " + err.Error(), New: "as written"}}, nil
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

func diffFields(before, after map[string]string) []change {
	var out []change
	for field, v := range after {
		old, ok := before[field]
		if !ok {
			old = absent
		}
		if old != v {
			out = append(out, change{field, old, v})
		}
	}
	for field, v := range before {
		if _, ok := after[field]; !ok {
			out = append(out, change{field, v, absent})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out
}

// flatten turns a spec into dotted fields and their JSON values.
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
	walk("", tree, out)
	return out, nil
}

func walk(prefix string, tree map[string]any, out map[string]string) {
	for name, v := range tree {
		if sub, ok := v.(map[string]any); ok {
			walk(prefix+name+".", sub, out)
			continue
		}
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(fmt.Sprint(v))
		}
		out[prefix+name] = string(text)
	}
}
