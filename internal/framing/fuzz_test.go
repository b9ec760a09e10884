package framing

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzConn guards against bytes of callers that end the process, and against a request that the server reads otherwise than the check.
func FuzzConn(f *testing.F) {
	for _, data := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.0\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 9223372036854775807\r\n\r\n", "\r\n\r\n", "\x00", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
	} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ours, theirs := net.Pipe()
		go func() {
			_ = ours.SetDeadline(time.Now().Add(time.Second))
			_, _ = ours.Write(data) // fails once the check has ended the connection
			ours.Close()
		}()
		in := bufio.NewReader(&conn{Conn: theirs, maxHeaderBytes: 4 << 10})
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				break
			}
			if len(req.TransferEncoding) > 0 && req.Header.Get("Content-Length") != "" {
				t.Error("a request with two kinds of framing is passed on")
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				break
			}
		}
		theirs.Close()
	})
}
