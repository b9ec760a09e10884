package framing

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serve runs a server behind a Listener. The channel gets the URI and the body of
// each request that the server handles.
func serve(t *testing.T) (address string, ran chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ran = make(chan string, 16)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ran <- r.RequestURI + " " + string(body)
	})}
	go func() { _ = s.Serve(Listener{Listener: l, MaxHeaderBytes: 1 << 14}) }() // ends with Close
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), ran
}

func exchange(t *testing.T, address, raw string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	responses, _ := io.ReadAll(c)
	return string(responses)
}

func TestAmbiguousRequestsDoNotRun(t *testing.T) {
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, raw := range map[string]string{
		"both lengths":       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"repeated length":    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"differing lengths":  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 40\r\n\r\n" + smuggled,
		"signed length":      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n\r\n" + smuggled,
		"other encoding":     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
		"chunk size in 0x":   "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + smuggled,
		"chunk without end":  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab0\r\n\r\n" + smuggled,
		"space before colon": "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 40\r\n\r\n" + smuggled,
		"folded line":        "POST /a HTTP/1.1\r\nHost: h\r\nX: a\r\n Content-Length: 40\r\n\r\n" + smuggled,
		"bare line feed":     "POST /a HTTP/1.1\r\nHost: h\r\nX: a\nContent-Length: 40\r\n\r\n" + smuggled,
	} {
		t.Run(name, func(t *testing.T) {
			address, ran := serve(t)
			responses := exchange(t, address, raw)
			select {
			case r := <-ran:
				t.Errorf("server handled %q", r)
			default:
			}
			if strings.Contains(responses, " 200 ") {
				t.Errorf("server responded %q", responses)
			}
		})
	}
}

func TestValidRequestsRun(t *testing.T) {
	address, ran := serve(t)
	raw := "POST /len HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" +
		"POST /chunk HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n" +
		"GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	if responses := exchange(t, address, raw); strings.Count(responses, "200 OK") != 3 {
		t.Fatalf("got responses %q, want status 200 three times", responses)
	}
	for _, want := range []string{"/len abc", "/chunk def", "/none "} {
		if got := <-ran; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
