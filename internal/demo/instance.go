package demo

import (
	"encoding/json"

	"buckthornseam.dev/seam/internal/config"
)

// Instance is a named template instance.
type Instance struct {
	Name string `json:"name"`
	config.Instance
}

// newInstance returns an instance with parameters that can be encoded as JSON.
func newInstance(name, template string, params map[string]any) Instance {
	raw := make(map[string]json.RawMessage, len(params))
	for k, v := range params {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err) // the parameters are constants of this package
		}
		raw[k] = data
	}
	return Instance{Name: name, Instance: config.Instance{Template: template, Params: raw}}
}
