package main

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// render fills in a settings template as the platform does: {{a.b}}, sections, {{.}}, {{@}}
// and {{,}}.
func render(template string, fields map[string]any) string {
	var out strings.Builder
	renderPart(&out, template, []any{fields}, "", true)
	return out.String()
}

// renderPart renders a part with a stack of values, of which the last is the current entry.
func renderPart(out *strings.Builder, part string, stack []any, key string, last bool) {
	for {
		before, rest, found := strings.Cut(part, "{{")
		out.WriteString(before)
		if !found {
			return
		}
		name, rest, _ := strings.Cut(rest, "}}")
		part = rest
		switch {
		case name == "@":
			out.WriteString(key)
		case name == ",":
			if !last {
				out.WriteString(",")
			}
		case name[0] == '#' || name[0] == '^':
			inner, after := section(rest, name[1:])
			renderSection(out, inner, name[0] == '^', lookup(stack, name[1:]), stack)
			part = after
		default:
			out.WriteString(text(lookup(stack, name)))
		}
	}
}

// section splits what follows an opening tag at its closing tag. Sections of the same name
// are not nested.
func section(rest, name string) (inner, after string) {
	inner, after, _ = strings.Cut(rest, "{{/"+name+"}}")
	return inner, after
}

func renderSection(out *strings.Builder, inner string, inverted bool, value any, stack []any) {
	absent := value == nil || value == false || value == ""
	if inverted || absent {
		if inverted && absent {
			renderPart(out, inner, stack, "", true)
		}
		return
	}
	switch v := value.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for i, k := range keys {
			renderPart(out, inner, append(stack, v[k]), k, i == len(keys)-1)
		}
	case []any:
		for i, entry := range v {
			renderPart(out, inner, append(stack, entry), strconv.Itoa(i), i == len(v)-1)
		}
	default:
		renderPart(out, inner, append(stack, value), "", true)
	}
}

// lookup resolves a name in the innermost value that has it.
func lookup(stack []any, name string) any {
	if name == "." {
		return stack[len(stack)-1]
	}
	for i := len(stack) - 1; i >= 0; i-- {
		if v := resolve(stack[i], strings.Split(name, ".")); v != nil {
			return v
		}
	}
	return nil
}

func resolve(v any, path []string) any {
	for _, step := range path {
		switch container := v.(type) {
		case map[string]any:
			v = container[step]
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i >= len(container) {
				return nil
			}
			v = container[i]
		default:
			return nil
		}
	}
	return v
}

func text(v any) string {
	list, ok := v.([]any)
	switch {
	case v == nil:
		return ""
	case !ok:
		return fmt.Sprint(v)
	}
	parts := make([]string, len(list))
	for i, entry := range list {
		parts[i] = text(entry)
	}
	return strings.Join(parts, ",")
}
