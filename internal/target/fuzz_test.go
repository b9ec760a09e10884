package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/standin/rawserver"
)

var (
	finalLine   = regexp.MustCompile(`^HTTP/\d\.\d +([2-5]\d\d)( |$)`)
	interimLine = regexp.MustCompile(`^HTTP/\d\.\d +1\d\d( |$)`)
	fieldLine   = regexp.MustCompile("^([!#$%&'*+\\-.^_|~`0-9A-Za-z]+):[ \t]*((?s:.*?))[ \t]*$")
	chunkLine   = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})[ \t]*(;.*)?\r\n$`)
)

// wholeBody returns the body of a response that was written whole, as RFC 9112 frames it.
func wholeBody(text string) (body string, whole bool) {
	in := bufio.NewReader(strings.NewReader(text))
	line := func() string {
		s, err := in.ReadString('\n')
		if err != nil {
			return "cut off"
		}
		return strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r")
	}
	status, encodings, lengths := line(), []string{}, map[string]bool{}
	for interimLine.MatchString(status) {
		for s := line(); s != ""; s = line() {
			if s == "cut off" {
				return "", false
			}
		}
		status = line()
	}
	final := finalLine.FindStringSubmatch(status)
	if final == nil {
		return "", false
	}
	last := ""
	for s := line(); s != ""; s = line() {
		field := fieldLine.FindStringSubmatch(s)
		folded := strings.HasPrefix(s, " ") || strings.HasPrefix(s, "\t")
		switch {
		case folded && last != "" && last != "transfer-encoding" && last != "content-length":
			continue
		case field == nil:
			return "", false
		}
		last = strings.ToLower(field[1])
		switch last {
		case "transfer-encoding":
			encodings = append(encodings, strings.ToLower(field[2]))
		case "content-length":
			lengths[field[2]] = true
		}
	}
	rest, err := io.ReadAll(in)
	if err != nil || len(lengths) > 1 {
		return "", false
	}
	switch {
	case final[1] == "204", final[1] == "304":
		return "", true
	case len(encodings) > 0:
		if status < "HTTP/1.1" || len(encodings) > 1 || encodings[0] != "chunked" {
			return "", false
		}
		return unchunk(string(rest))
	}
	for length := range lengths {
		n, err := strconv.ParseUint(length, 10, 63)
		if err != nil || n > uint64(len(rest)) {
			return "", false
		}
		return string(rest[:n]), true
	}
	return string(rest), true
}

// unchunk returns a body that was written whole in chunks.
func unchunk(text string) (body string, whole bool) {
	for {
		line, rest, found := strings.Cut(text, "\n")
		size := chunkLine.FindStringSubmatch(line + "\n")
		if !found || size == nil {
			return "", false
		}
		n, err := strconv.ParseUint(size[1], 16, 63)
		switch {
		case err != nil:
			return "", false
		case n == 0:
			return body, strings.HasPrefix(rest, "\r\n") || strings.Contains(rest, "\r\n\r\n") // without or with trailers
		case n+2 > uint64(len(rest)) || rest[n:n+2] != "\r\n":
			return "", false
		}
		body, text = body+rest[:n], rest[n+2:]
	}
}

// FuzzResponses guards against a response that was not written whole, or with another body, being taken for whole.
func FuzzResponses(f *testing.F) {
	for _, heads := range [][]string{rawserver.InvalidStatuses, rawserver.InvalidFields, rawserver.OddHeads} {
		for _, head := range heads {
			f.Add("HTTP/1.1 " + head + "\r\n\r\nbody")
			f.Add("HTTP/1.0 " + head + "\r\nContent-Length: 4\r\n\r\nbody and more")
			f.Add("HTTP/1.1 " + head + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
		}
	}
	for _, text := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: a\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\nHTTP/1.1 204 No\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n4;a=b\r\nbody\r\n0\r\n\r\n",
	} {
		f.Add(text)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { l.Close() })
	texts := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed at the end of the test
			}
			_, _ = http.ReadRequest(bufio.NewReader(c)) // has no body
			_, _ = io.WriteString(c, <-texts)
			c.Close()
		}
	}()
	client := NewClient()
	f.Fuzz(func(t *testing.T, text string) {
		texts <- text
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		resp, err := client.Forward(ctx, l.Addr().String(), ForwardRequest{ID: "1", Method: http.MethodGet, URI: "/", Header: http.Header{}}, func(int, http.Header) string { return "1" })
		if err != nil {
			return
		}
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		if want, whole := wholeBody(text); !whole || string(got) != want {
			t.Errorf("%q: got %q as a whole response, want %q, whole: %v", text, got, want, whole)
		}
	})
}
