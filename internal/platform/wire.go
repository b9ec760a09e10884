package platform

import (
	"encoding/json"
	"errors"
	"net/http"
)

// BasePath is the path under which the kinds are served.
const BasePath = "/apis/buckthornseam.dev/v1"

// AnnotationOpID is the annotation that carries Object.OpID.
const AnnotationOpID = "buckthornseam.dev/op-id"

// WireMeta is the metadata of an object or a list.
type WireMeta struct {
	Name            string            `json:"name,omitempty"`
	ResourceVersion Version           `json:"resourceVersion,omitempty,string"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// WireObject is the JSON form of an object.
type WireObject struct {
	APIVersion string          `json:"apiVersion"`
	Kind       Kind            `json:"kind"`
	Metadata   WireMeta        `json:"metadata"`
	Spec       json.RawMessage `json:"spec"`
}

// WireList is the JSON form of a list.
type WireList struct {
	Metadata WireMeta     `json:"metadata"`
	Items    []WireObject `json:"items"`
}

// WireEvent is one line of a watch response.
type WireEvent struct {
	Type   EventType  `json:"type"`
	Object WireObject `json:"object"`
}

// WireStatus is the response body of a failed call.
type WireStatus struct {
	Code     int     `json:"code"`
	Reason   string  `json:"reason,omitempty"`
	Message  string  `json:"message,omitempty"`
	Expected Version `json:"expected,omitempty,string"`
	Found    Version `json:"found,omitempty,string"`
}

// Values of WireStatus.Reason.
const (
	ReasonNotFound = "NotFound"
	ReasonConflict = "Conflict"
	ReasonExpired  = "Expired"
	ReasonInvalid  = "Invalid"
)

// ToWire returns the JSON form of an object.
func ToWire(obj Object) WireObject {
	return WireObject{
		APIVersion: "buckthornseam.dev/v1",
		Kind:       obj.Kind,
		Metadata: WireMeta{
			Name:            obj.Name,
			ResourceVersion: obj.Version,
			Annotations:     map[string]string{AnnotationOpID: obj.OpID},
		},
		Spec: obj.Data,
	}
}

// Object returns the object that w represents.
func (w WireObject) Object(kind Kind) Object {
	return Object{
		Kind:    kind,
		Name:    w.Metadata.Name,
		Version: w.Metadata.ResourceVersion,
		OpID:    w.Metadata.Annotations[AnnotationOpID],
		Data:    w.Spec,
	}
}

// EventToWire returns the JSON form of an event.
func EventToWire(e Event) WireEvent {
	return WireEvent{Type: e.Type, Object: ToWire(e.Object)}
}

// StatusOf returns the response body that reports err to a client.
func StatusOf(err error) WireStatus {
	status := WireStatus{Code: http.StatusServiceUnavailable, Message: err.Error()}
	var conflict *ConflictError
	var notFound *NotFoundError
	var expired *ExpiredError
	var invalid *InvalidError
	switch {
	case errors.As(err, &conflict):
		status.Code = http.StatusConflict
		status.Reason = ReasonConflict
		status.Expected = conflict.Expected
		status.Found = conflict.Found
	case errors.As(err, &notFound):
		status.Code = http.StatusNotFound
		status.Reason = ReasonNotFound
	case errors.As(err, &expired):
		status.Code = http.StatusGone
		status.Reason = ReasonExpired
	case errors.As(err, &invalid):
		status.Code = http.StatusUnprocessableEntity
		status.Reason = ReasonInvalid
	}
	return status
}
