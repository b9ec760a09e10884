package target

import (
	"errors"
	"net/http"
	"testing"

	"buckthornseam.dev/seam/internal/standin/rawserver"
)

// readers are the ways in which a Client reads a response with a JSON object.
var readers = map[string]func(t *testing.T, c *Client, s *rawserver.Server) error{
	"forward": func(t *testing.T, _ *Client, s *rawserver.Server) error {
		_, err := forwarded(t, s, 0)
		return err
	},
	"send": func(_ *testing.T, c *Client, s *rawserver.Server) error {
		_, err := send(c, s.Address, Request{ID: "1", Method: http.MethodPost, Path: "/"})
		return err
	},
	"order": func(t *testing.T, c *Client, s *rawserver.Server) error {
		err := c.Order(t.Context(), s.Address, Order{Decision: "1"})
		var rejected *RejectedError
		if errors.As(err, &rejected) { // the response was read
			return nil
		}
		return err
	},
}

// checkHeads checks what all readers make of responses with heads, whose version is left out: that they are malformed, or valid.
func checkHeads(t *testing.T, heads []string, valid bool) {
	t.Helper()
	for _, head := range heads {
		for name, read := range readers {
			c := NewClient()
			s := rawserver.Start(t, rawserver.Response{Text: "HTTP/1.1 " + head + "\r\n" + HeaderRequestID + ": 1\r\nContent-Length: 2\r\n\r\n{}"})
			err := read(t, c, s)
			c.Close()
			var unknown *UnknownOutcomeError
			var malformed *MalformedResponseError
			if valid != (err == nil) || !valid && (!errors.As(err, &unknown) || !errors.As(err, &malformed)) || s.Requests() != 1 {
				t.Errorf("%s of %q: error %v, %d requests, want a malformed response: %v", name, head, err, s.Requests(), !valid)
			}
		}
	}
}

// TestInvalidStatuses guards against a response reaching callers, or an order counting as accepted, if its status is none.
func TestInvalidStatuses(t *testing.T) {
	checkHeads(t, rawserver.InvalidStatuses, false)
	checkHeads(t, []string{"299 Odd", "404 No", "418 Teapot", "599 Odd"}, true)
}

// TestInvalidFields guards against a response reaching callers, or an order counting as accepted, if its head has a field whose name or
// value is none: what is known of its framing may be wrong.
func TestInvalidFields(t *testing.T) { checkHeads(t, rawserver.InvalidFields, false) }

// TestChunksOfAnOlderVersion guards against callers getting the marks of chunks as a body: before HTTP/1.1 there are none, so net/http does
// not read them as such.
func TestChunksOfAnOlderVersion(t *testing.T) {
	const chunks = "\r\n5\r\nwhole\r\n0\r\n\r\n"
	for response, want := range map[string]string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                      "",
		"HTTP/1.0 200 OK\r\nX: a\r\ntransfer-encoding:chunked\r\n" + chunks:               "",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n" + chunks: "",
		"HTTP/0.9 200 OK\nTransfer-Encoding: chunked\n" + chunks:                          "",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                      "whole",
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: a\r\n\r\nwhole":                          "whole",
		"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n":                           "Transfer-Encoding: chunked\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole":                               "whole",
	} {
		s := rawserver.Start(t, rawserver.Response{Text: response})
		body, err := forwarded(t, s, 0)
		if body != want || (err == nil) != (want != "") || s.Requests() != 1 {
			t.Errorf("%q: body %q, error %v, want %q", response, body, err, want)
		}
	}
}

// TestOddHeads guards against odd but valid responses being taken for malformed.
func TestOddHeads(t *testing.T) { checkHeads(t, rawserver.OddHeads, true) }
