package settings

import (
	"encoding/json"
	"reflect"
	"sort"
	"strings"
)

// schemaFaults compares a JSON document with the type of want. It returns faults
// for unknown fields and wrong types, and the document without those fields, so
// that the values of the others can be checked as well. Rest is nil if data is not
// a JSON object.
func schemaFaults(data []byte, want any) (faults []Fault, rest []byte) {
	var doc any
	if err := json.Unmarshal(data, &doc); err != nil {
		return []Fault{{Path: ".", Reason: "not a JSON document: " + err.Error()}}, nil
	}
	checkValue(doc, reflect.TypeOf(want), "", &faults)
	sort.Slice(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	if _, ok := doc.(map[string]any); !ok {
		return faults, nil
	}
	rest, err := json.Marshal(doc)
	if err != nil {
		return faults, nil
	}
	return faults, rest
}

func checkValue(node any, t reflect.Type, path string, faults *[]Fault) {
	add := func(reason string) {
		*faults = append(*faults, Fault{Path: strings.TrimPrefix(path, "."), Reason: reason})
	}
	switch t.Kind() {
	case reflect.Struct:
		obj, ok := node.(map[string]any)
		if !ok {
			add("must be an object")
			return
		}
		checkFields(obj, t, path, faults)
	case reflect.String:
		if _, ok := node.(string); !ok {
			add("must be a string")
		}
	case reflect.Int, reflect.Int64:
		n, ok := node.(float64)
		if !ok || n != float64(int64(n)) {
			add("must be a whole number")
		}
	case reflect.Bool:
		if _, ok := node.(bool); !ok {
			add("must be true or false")
		}
	}
}

func checkFields(obj map[string]any, t reflect.Type, path string, faults *[]Fault) {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = t.Field(i).Type
	}
	for name, value := range obj {
		child := path + "." + name
		before := len(*faults)
		ft, known := fields[name]
		if known {
			checkValue(value, ft, child, faults)
		} else {
			*faults = append(*faults, Fault{Path: strings.TrimPrefix(child, "."), Reason: "unknown field"})
		}
		if _, object := value.(map[string]any); len(*faults) > before && (!object || !known) {
			delete(obj, name)
		}
	}
}
