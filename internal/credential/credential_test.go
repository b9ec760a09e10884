package credential

import (
	"net/http"
	"net/url"
	"testing"
)

const testKey = "key-of-team-0123456789"

func request(t *testing.T, target string, header http.Header) *http.Request {
	r, err := http.NewRequest("POST", "http://host"+target, nil)
	if err != nil {
		t.Fatal(err)
	}
	if header != nil {
		r.Header = header
	}
	return r
}

func TestExtract(t *testing.T) {
	basic := func(user, password string) http.Header {
		r := request(t, "/", nil)
		r.SetBasicAuth(user, password)
		return r.Header
	}
	for name, r := range map[string]*http.Request{
		"bearer":            request(t, "/", http.Header{"Authorization": {"Bearer " + testKey}}),
		"bearer, lower":     request(t, "/", http.Header{"Authorization": {"bearer   " + testKey + " "}}),
		"bare":              request(t, "/", http.Header{"Authorization": {testKey}}),
		"basic password":    request(t, "/", basic("desk", testKey)),
		"basic user":        request(t, "/", basic(testKey, "")),
		"x-api-key":         request(t, "/", http.Header{"X-Api-Key": {testKey}}),
		"api-key":           request(t, "/", http.Header{"Api-Key": {testKey}}),
		"query":             request(t, "/?a=b&api_key="+testKey, nil),
		"query, semicolon":  request(t, "/?a=b;key="+testKey, nil),
		"query, encoded":    request(t, "/?%61pi%5Fkey=%6b"+testKey[1:], nil),
		"cookie":            request(t, "/", http.Header{"Cookie": {"a=b; access_token=" + testKey}}),
		"header over query": request(t, "/?api_key=other-key-99", http.Header{"X-Api-Key": {testKey}}),
	} {
		if key, ok := Extract(r); !ok || key != testKey {
			t.Errorf("%s: %q, %v", name, key, ok)
		}
	}
	if key, ok := Extract(request(t, "/?a=b", http.Header{"Cookie": {"a=b"}})); ok {
		t.Errorf("found %q where there is none", key)
	}
}

func TestScrub(t *testing.T) {
	p := Find(request(t, "/", http.Header{"Authorization": {"Bearer " + testKey}}))
	u, err := url.Parse("http://host/a%2Fb?x=1&API-Key=zzz&y=2;token=w")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := p.ForwardedURI(u); err != nil || got != "/a%2Fb?x=1&y=2" {
		t.Errorf("target %q, %v", got, err)
	}
	for _, leak := range []string{"/" + testKey, "/a?x=" + testKey, "/a?x=%6B" + testKey[1:]} {
		u, err := url.Parse(leak)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := p.ForwardedURI(u); err == nil {
			t.Errorf("%s is passed on as %s", leak, got)
		}
	}
	for _, leak := range []string{testKey, `{"k":"\u006b` + testKey[1:] + `"}`, "eyJrZXkiOiJrZXktb2YtdGVhbS0wMTIzNDU2Nzg5In0"} {
		if p.CheckBody([]byte(leak)) == nil {
			t.Errorf("body %s is passed on", leak)
		}
	}
	if err := p.CheckBody([]byte(`{"prompt":"explain the key of this team"}`)); err != nil {
		t.Error(err)
	}
	if _, err := p.ForwardedHeader(http.Header{"Accept": {testKey}}, []string{"Accept"}); err == nil {
		t.Error("a header with the key is passed on")
	}
	if got := p.Redact("refused " + testKey + "!"); got != "refused "+Redacted+"!" {
		t.Errorf("log line %q", got)
	}
}
