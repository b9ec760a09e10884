package callerclient

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/entry"
	"buckthornseam.dev/seam/internal/standin/rawserver"
)

// call sends a request to a host and returns the body of the response. The request is not repeated.
func call(t *testing.T, mode Mode, host string, body []byte) (string, error) {
	t.Helper()
	c, err := New(Options{Mode: mode})
	if err != nil {
		t.Fatal(err)
	}
	c.setHosts(entry.HostList{Hosts: []entry.Host{{Address: host}}, TTLSeconds: time.Minute.Seconds()})
	resp, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: body})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestEarlyResponseThatBreaksOff guards against what came of a response without a length being taken for a whole one, if the host resets
// the connection during a long upload.
func TestEarlyResponseThatBreaksOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	upload := bytes.Repeat([]byte("b"), 12<<20) // more than the kernel takes of a request that is not read
	for _, mode := range []Mode{ModeOne, ModeTwo} {
		for range 3 { // who learns of the reset differs by run
			s := rawserver.Start(t, rawserver.Response{Unread: true, Text: head + "a part", End: rawserver.Reset})
			if body, err := call(t, mode, s.Address, upload); err == nil || s.Requests() != 1 {
				t.Errorf("%s: body %q, %d requests, want an error", mode, body, s.Requests())
			}
		}
		s := rawserver.Start(t, rawserver.Response{Text: head + "whole"})
		if body, err := call(t, mode, s.Address, upload); err != nil || body != "whole" {
			t.Errorf("%s, after the upload: body %q, error %v", mode, body, err)
		}
	}
}
