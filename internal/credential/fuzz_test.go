package credential_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/credential"
	"buckthornseam.dev/seam/internal/target"
)

// recordingTarget starts a target that sends the raw bytes of each request to the
// channel.
func recordingTarget(f *testing.F) (address string, requests <-chan []byte) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { l.Close() })
	out := make(chan []byte, 1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			var seen bytes.Buffer
			r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &seen)))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
			}
			conn.Close()
			if seen.Len() > 0 {
				out <- seen.Bytes()
			}
		}
	}()
	return l.Addr().String(), out
}

// presentations are the ways of presenting a key.
var presentations = []func(r *http.Request, key string){
	func(r *http.Request, key string) { r.Header.Set("Authorization", "Bearer "+key) },
	func(r *http.Request, key string) { r.Header.Set("Authorization", key) },
	func(r *http.Request, key string) { r.SetBasicAuth("desk", key) },
	func(r *http.Request, key string) { r.SetBasicAuth(key, "") },
	func(r *http.Request, key string) { r.Header.Set("X-Api-Key", key) },
	func(r *http.Request, key string) { r.Header.Set("Api-Key", key) },
	func(r *http.Request, key string) { addQuery(r, "api_key", key) },
	func(r *http.Request, key string) { addQuery(r, "access-token", key) },
	func(r *http.Request, key string) { r.AddCookie(&http.Cookie{Name: "api_key", Value: key}) },
	func(r *http.Request, key string) { r.AddCookie(&http.Cookie{Name: "token", Value: key}) },
}

// repetitions are further places in which a request may repeat its key.
var repetitions = []func(r *http.Request, body *string, key string){
	func(*http.Request, *string, string) {},
	func(r *http.Request, _ *string, key string) { r.Header.Set("Accept", key) },
	func(r *http.Request, _ *string, key string) { r.Header.Set("X-Other", key) },
	func(r *http.Request, _ *string, key string) { r.Trailer = http.Header{"X-Key": {key}} },
	func(r *http.Request, _ *string, key string) { addQuery(r, "q", key) },
	func(r *http.Request, _ *string, key string) { r.URL.Path += "/" + key },
	func(r *http.Request, _ *string, key string) { r.AddCookie(&http.Cookie{Name: "session", Value: key}) },
	func(_ *http.Request, body *string, key string) { *body += key },
	func(_ *http.Request, body *string, key string) { *body += url.QueryEscape(key) },
	func(_ *http.Request, body *string, key string) {
		*body += base64.StdEncoding.EncodeToString([]byte(key))
	},
	func(_ *http.Request, body *string, key string) {
		*body = base64.URLEncoding.EncodeToString([]byte(*body + key))
	},
	func(_ *http.Request, body *string, key string) { *body += hex.EncodeToString([]byte(key)) },
	func(_ *http.Request, body *string, key string) { *body += fmt.Sprintf(`\u%04x`, key[0]) + key[1:] },
}

func addQuery(r *http.Request, name, value string) {
	if r.URL.RawQuery != "" {
		r.URL.RawQuery += "&"
	}
	r.URL.RawQuery += name + "=" + url.QueryEscape(value)
}

// containsKey reports whether data that a target or the log received contains the
// key, verbatim or encoded.
func containsKey(data, key string) bool {
	decoded, err := url.QueryUnescape(data)
	if err != nil {
		decoded = data
	}
	for _, form := range []string{
		key, hex.EncodeToString([]byte(key)), fmt.Sprintf(`\u%04x`, key[0]) + key[1:],
		base64.RawStdEncoding.EncodeToString([]byte(key))[:len(key)],
		base64.StdEncoding.EncodeToString([]byte("desk:" + key)),
	} {
		if strings.Contains(data, form) || strings.Contains(decoded, form) {
			return true
		}
	}
	return false
}

func FuzzNoKeyReachesTarget(f *testing.F) {
	for presentation := range presentations {
		for repetition := range repetitions {
			f.Add([]byte("0123456789"), uint8(presentation), uint8(repetition), "/invoices/7", "a=b", `{"prompt":"explain"}`)
		}
	}
	f.Add([]byte("k"), uint8(6), uint8(4), "/a%2Fb", "token=x;y=%zz", "")
	address, requests := recordingTarget(f)
	client := target.NewClient()
	f.Fuzz(func(t *testing.T, raw []byte, presentation, repetition uint8, path, query, body string) {
		key := "seam-" + hex.EncodeToString(raw) // keys are printable
		u, err := url.Parse("http://host/" + strings.TrimPrefix(path, "/"))
		if len(key) < 8 || err != nil {
			return
		}
		u.RawQuery = query
		r := &http.Request{Method: "POST", URL: u, Header: http.Header{}}
		presentations[int(presentation)%len(presentations)](r, key)
		repetitions[int(repetition)%len(repetitions)](r, &body, key)

		creds := credential.Find(r)
		line := creds.Redact(r.URL.String()) + fmt.Sprint(r.Header.Values("Accept"), "")
		if got, found := creds.Key(); !found {
			t.Fatal("key not found")
		} else if got != key && !strings.Contains(query, "=") && !strings.Contains(path, "?") {
			t.Fatalf("found a key other than the one presented")
		}
		if containsKey(creds.Redact(line), key) {
			t.Errorf("the log line contains the key")
		}
		out := target.Request{ID: "1", Method: r.Method, Body: []byte(body), Fresh: true}
		errs := make([]error, 3)
		out.Path, errs[0] = creds.ForwardedURI(r.URL)
		out.Header, errs[1] = creds.ForwardedHeader(r.Header, []string{"Accept", "Content-Type", "Authorization"})
		errs[2] = creds.CheckBody(out.Body)
		for _, err := range errs {
			if err != nil && containsKey(err.Error(), key) {
				t.Errorf("the error contains the key")
			}
			if err != nil {
				return
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		resp, err := client.Send(ctx, address, out)
		if err != nil && containsKey(err.Error(), key) {
			t.Errorf("the error of the client contains the key")
		}
		var unreachable *target.UnreachableError
		if !errors.As(err, &unreachable) {
			if seen := <-requests; containsKey(string(seen), key) {
				t.Errorf("the target received the key: %q", seen)
			}
		}
		if err == nil {
			resp.Body.Close()
		}
	})
}
