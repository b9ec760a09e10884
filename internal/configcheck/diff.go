package configcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"buckthornseam.dev/seam/internal/fleet"
)

// Change is an entry that differs from the version in force.
type Change struct {
	Kind  string // "added", "removed" or "changed"
	Entry string // "route NAME", "service NAME", "team NAME" or "limits"
	// Fields are the fields of the type in package fleet that differ, with both values. Keys are counted, never shown.
	Fields []string
}

// The kinds of changes.
const (
	added   = "added"
	removed = "removed"
	changed = "changed"
)

// Diff returns how a configuration differs from the one in force, and an error finding if it cannot follow it. nameOf returns
// the name of a field in the operator's format.
func Diff(inForce, next Config, nameOf func(field string) string) ([]Change, []Finding) {
	d := differ{nameOf}
	var findings []Finding
	if next.Version <= inForce.Version {
		findings = append(findings, Finding{Error, Place{Field: "Version"}, fmt.Sprintf("%d does not follow version %d, which is in force", next.Version, inForce.Version)})
	}
	var out []Change
	out = append(out, diffEntries(d, "route", inForce.Routes, next.Routes, routeName)...)
	out = append(out, diffEntries(d, "service", inForce.Services, next.Services, func(s fleet.Service) string { return s.Name })...)
	out = append(out, diffEntries(d, "team", inForce.Teams, next.Teams, func(t fleet.Team) string { return t.Name })...)
	if fields := d.fields(inForce.Limits, next.Limits); len(fields) > 0 {
		out = append(out, Change{changed, "limits", fields})
	}
	return out, findings
}

func routeName(r fleet.Route) string {
	if r.Name != "" {
		return r.Name
	}
	return r.Host + r.PathPrefix
}

type differ struct{ nameOf func(field string) string }

func diffEntries[T any](d differ, kind string, old, next []T, name func(T) string) []Change {
	var out []Change
	find := func(list []T, n string) int { return slices.IndexFunc(list, func(e T) bool { return name(e) == n }) }
	for _, e := range next {
		entry := kind + " " + name(e)
		if i := find(old, name(e)); i < 0 {
			out = append(out, Change{Kind: added, Entry: entry})
		} else if fields := d.fields(old[i], e); len(fields) > 0 {
			out = append(out, Change{changed, entry, fields})
		}
	}
	for _, e := range old {
		if find(next, name(e)) < 0 {
			out = append(out, Change{Kind: removed, Entry: kind + " " + name(e)})
		}
	}
	return out
}

// fields lists the fields in which two values of a struct type differ.
func (d differ) fields(old, next any) []string {
	var out []string
	a, b := reflect.Indirect(reflect.ValueOf(old)), reflect.Indirect(reflect.ValueOf(next))
	for i := range a.NumField() {
		field, shown := a.Type().Field(i).Name, d.nameOf(a.Type().Field(i).Name)
		x, y := a.Field(i), b.Field(i)
		switch {
		case reflect.DeepEqual(x.Interface(), y.Interface()):
		case field == "Keys":
			out = append(out, shown+": "+diffKeys(x.Interface().([]string), y.Interface().([]string)))
		case x.Kind() == reflect.Pointer && !x.IsNil() && !y.IsNil():
			out = append(out, d.fields(x.Interface(), y.Interface())...)
		case x.Kind() == reflect.Map:
			out = append(out, d.maps(shown, x, y)...)
		default:
			out = append(out, fmt.Sprintf("%s: %v -> %v", shown, show(x), show(y)))
		}
	}
	return out
}

func (d differ) maps(field string, x, y reflect.Value) []string {
	var out []string
	for _, key := range y.MapKeys() {
		old := x.MapIndex(key)
		if !old.IsValid() {
			out = append(out, fmt.Sprintf("%s: %v added", field, key))
			continue
		}
		for _, inner := range d.fields(old.Interface(), y.MapIndex(key).Interface()) {
			out = append(out, fmt.Sprintf("%s[%v].%s", field, key, inner))
		}
	}
	for _, key := range x.MapKeys() {
		if !y.MapIndex(key).IsValid() {
			out = append(out, fmt.Sprintf("%s: %v removed", field, key))
		}
	}
	slices.Sort(out)
	return out
}

func diffKeys(old, next []string) string {
	count := func(a, b []string) (n int) {
		for _, key := range a {
			if !slices.Contains(b, key) {
				n++
			}
		}
		return n
	}
	return fmt.Sprintf("%d added, %d removed", count(next, old), count(old, next))
}

// show formats a value; a struct behind a pointer by its fields, no value as "none".
func show(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	if s := fmt.Sprint(v.Interface()); strings.TrimSpace(s) != "" {
		return s
	}
	return "none"
}
