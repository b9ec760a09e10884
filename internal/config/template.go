package config

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io/fs"
	"sort"
	"strings"
)

//go:embed templates/*.json
var templateFiles embed.FS

// Param declares a parameter of a template.
type Param struct {
	Name     string          `json:"name"`
	Type     string          `json:"type"` // "string", "number", "bool" or "strings"
	Required bool            `json:"required,omitempty"`
	Default  json.RawMessage `json:"default,omitempty"`
	Doc      string          `json:"doc"`
}

// Template renders entities from parameters. Its field Entities holds the JSON form of
// the type Entities, in which a string "${name}" stands for the value of a parameter.
type Template struct {
	Name     string          `json:"name"`
	Doc      string          `json:"doc"`
	Params   []Param         `json:"params"`
	Entities json.RawMessage `json:"entities"`

	parsed any // Entities, decoded once
}

// Instance is a use of a template with its parameters, as submitted by an operator.
type Instance struct {
	Template string                     `json:"template"`
	Params   map[string]json.RawMessage `json:"params"`
	// Withdrawn marks an instance that is no longer in force. It stays stored for a
	// while, so that a create that is still in flight after its response was lost fails
	// instead of bringing the instance back.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Fault describes what is wrong with one field of an instance.
type Fault struct {
	Instance string `json:"instance"`
	Field    string `json:"field"`
	Reason   string `json:"reason"`
}

// InvalidInstanceError reports all faults of an instance.
type InvalidInstanceError struct {
	Instance string
	Faults   []Fault
}

func (e *InvalidInstanceError) Error() string {
	parts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		parts[i] = f.Field + ": " + f.Reason
	}
	return fmt.Sprintf("instance %s invalid: %s", e.Instance, strings.Join(parts, "; "))
}

// Templates returns the built-in templates by name.
func Templates() (map[string]*Template, error) {
	files, err := fs.Glob(templateFiles, "templates/*.json")
	if err != nil {
		return nil, &TemplateError{File: "templates", Cause: err}
	}
	templates := make(map[string]*Template, len(files))
	for _, file := range files {
		t, err := readTemplate(file)
		if err != nil {
			return nil, err
		}
		templates[t.Name] = t
	}
	return templates, nil
}

// TemplateError reports a built-in template that cannot be read.
type TemplateError struct {
	File  string
	Cause error
}

func (e *TemplateError) Error() string { return fmt.Sprintf("template %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *TemplateError) Unwrap() error { return e.Cause }

func readTemplate(file string) (*Template, error) {
	data, err := templateFiles.ReadFile(file)
	if err != nil {
		return nil, &TemplateError{File: file, Cause: err}
	}
	t := &Template{}
	if err := strictUnmarshal(data, t); err != nil {
		return nil, &TemplateError{File: file, Cause: err}
	}
	if err := json.Unmarshal(t.Entities, &t.parsed); err != nil {
		return nil, &TemplateError{File: file, Cause: err}
	}
	return t, nil
}

// Render returns the entities of an instance, none if it is withdrawn. It fails with an
// *InvalidInstanceError that lists all faults found.
func Render(templates map[string]*Template, name string, inst Instance) (Entities, error) {
	if inst.Withdrawn {
		return Entities{}, nil
	}
	t, ok := templates[inst.Template]
	if !ok {
		return Entities{}, invalid(name, "template", "unknown template "+inst.Template)
	}
	values, faults := t.bind(name, inst.Params)
	if len(faults) > 0 {
		return Entities{}, &InvalidInstanceError{Instance: name, Faults: faults}
	}
	data, err := json.Marshal(substitute(t.parsed, values))
	if err != nil {
		return Entities{}, invalid(name, "params", err.Error())
	}
	var e Entities
	if err := strictUnmarshal(data, &e); err != nil {
		return Entities{}, invalid(name, "params", err.Error())
	}
	if faults := e.check(name); len(faults) > 0 {
		return Entities{}, &InvalidInstanceError{Instance: name, Faults: faults}
	}
	return e, nil
}

func invalid(instance, field, reason string) *InvalidInstanceError {
	return &InvalidInstanceError{
		Instance: instance,
		Faults:   []Fault{{Instance: instance, Field: field, Reason: reason}},
	}
}

// bind checks params against the template's declarations and fills in defaults.
func (t *Template) bind(instance string, params map[string]json.RawMessage) (map[string]any, []Fault) {
	values := make(map[string]any, len(t.Params))
	known := make(map[string]bool, len(t.Params))
	var faults []Fault
	for _, p := range t.Params {
		known[p.Name] = true
		raw, given := params[p.Name]
		if !given && p.Required {
			faults = append(faults, Fault{Instance: instance, Field: "params." + p.Name, Reason: "required"})
			continue
		}
		if !given {
			raw = p.Default
		}
		v, reason := p.parse(raw)
		if reason != "" {
			faults = append(faults, Fault{Instance: instance, Field: "params." + p.Name, Reason: reason})
			continue
		}
		values[p.Name] = v
	}
	for name := range params {
		if !known[name] {
			faults = append(faults, Fault{Instance: instance, Field: "params." + name, Reason: "unknown parameter"})
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Field < faults[j].Field })
	return values, faults
}

// parse decodes a value of the parameter's type. The reason is empty on success.
func (p Param) parse(raw json.RawMessage) (value any, reason string) {
	var err error
	switch p.Type {
	case "string":
		var s string
		err = json.Unmarshal(raw, &s)
		value = s
	case "number":
		var n json.Number
		err = json.Unmarshal(raw, &n)
		value = n
	case "bool":
		var b bool
		err = json.Unmarshal(raw, &b)
		value = b
	case "strings":
		list := []string{}
		err = json.Unmarshal(raw, &list)
		value = list
	default:
		return nil, "template declares unknown type " + p.Type
	}
	if err != nil {
		return nil, "must be a " + p.Type
	}
	return value, ""
}

// substitute returns a copy in which each string "${name}" is replaced by its
// value.
func substitute(node any, values map[string]any) any {
	switch n := node.(type) {
	case map[string]any:
		out := make(map[string]any, len(n))
		for k, v := range n {
			out[k] = substitute(v, values)
		}
		return out
	case []any:
		out := make([]any, len(n))
		for i, v := range n {
			out[i] = substitute(v, values)
		}
		return out
	case string:
		if name, ok := placeholder(n); ok {
			return values[name]
		}
		return n
	}
	return node
}

func placeholder(s string) (string, bool) {
	if !strings.HasPrefix(s, "${") || !strings.HasSuffix(s, "}") {
		return "", false
	}
	return s[2 : len(s)-1], true
}

// strictUnmarshal decodes one JSON value and rejects unknown fields.
func strictUnmarshal(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}
