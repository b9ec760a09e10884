// Package credential finds the key that a caller presents and keeps it, and
// every other credential in the request, away from targets and logs.
//
// Places made for credentials are simply not passed on: of the headers only an
// allow list is, cookies and trailers never are, and query parameters that
// carry credentials are cut out. A request that repeats its key elsewhere, in
// the path, an allowed header or the body, is refused: what a target would
// make of an altered body is unknown.
package credential

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"
)

// headers are the headers that carry credentials, in order of precedence.
var headers = []string{"Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token", "X-Access-Token", "Proxy-Authorization"}

// names are the query parameters and cookies that carry credentials, in order
// of precedence, in lower case and without separators.
var names = []string{"apikey", "xapikey", "accesstoken", "authtoken", "authorization", "key", "token"}

// schemes are the authentication schemes of the Authorization header whose
// credential is the key as it stands, in lower case.
var schemes = []string{"bearer", "token", "apikey", "api-key", "key"}

// minSecretBytes is the length from which a value is looked for outside the
// places made for credentials. Shorter ones are no keys and occur by chance.
const minSecretBytes = 8

// keyBytes is the length from which a user name may be a key. A shorter one,
// such as the name of a desk, may well occur in the body too.
const keyBytes = 20

// Set is what a request carries as credentials.
type Set struct {
	key     string
	secrets []string // all values found, the key among them, each once
}

// Find collects the credentials of a request. It does not read the body.
func Find(r *http.Request) Set {
	var p Set
	for _, name := range headers {
		for _, value := range r.Header.Values(name) {
			p.header(value)
		}
	}
	p.query(r.URL)
	p.cookies(r)
	if r.URL.User != nil {
		p.basic(r.URL.User.Username(), passwordOf(r.URL.User))
	}
	return p
}

// Extract returns the key with which a request asks to be admitted: from
// Authorization (Bearer, Basic or bare), X-Api-Key, Api-Key and the like, then
// from the query, then from cookies. Ok is false if there is none.
func Extract(r *http.Request) (key string, ok bool) {
	return Find(r).Key()
}

// Key returns the key with which the request asks to be admitted.
func (p Set) Key() (key string, ok bool) { return p.key, p.key != "" }

// add notes a credential; the first one is the key.
func (p *Set) add(value string) {
	if value == "" {
		return
	}
	if p.key == "" {
		p.key = value
	}
	p.note(value)
}

// note notes a value that must not leave this host.
func (p *Set) note(value string) {
	for _, each := range p.secrets {
		if each == value {
			return
		}
	}
	if len(value) >= minSecretBytes {
		p.secrets = append(p.secrets, value)
	}
}

func (p *Set) header(value string) {
	value = strings.TrimSpace(value)
	scheme, rest, found := strings.Cut(value, " ")
	rest = strings.TrimSpace(rest)
	switch {
	case !found:
		p.add(value)
	case strings.EqualFold(scheme, "basic"):
		p.note(rest)
		p.basicEncoded(rest)
	case known(schemes, strings.ToLower(scheme)):
		p.add(rest)
	default:
		p.note(rest)
		p.note(value)
	}
}

func (p *Set) basicEncoded(encoded string) {
	data, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		data, err = base64.RawStdEncoding.DecodeString(encoded)
	}
	if err != nil {
		return
	}
	user, password, _ := strings.Cut(string(data), ":")
	p.basic(user, password)
}

// basic takes the password for the key, or the user if there is none. A user
// beside a password is noted too if it may be a key: some callers put it there
// with a filler as password.
func (p *Set) basic(user, password string) {
	if password == "" {
		p.add(user)
		return
	}
	p.add(password)
	if len(user) >= keyBytes {
		p.note(user)
	}
}

func passwordOf(u *url.Userinfo) string {
	password, _ := u.Password()
	return password
}

func (p *Set) query(u *url.URL) {
	for _, name := range names {
		for _, each := range splitQuery(u.RawQuery) {
			if normalize(each.name) == name {
				p.add(each.value)
			}
		}
	}
}

func (p *Set) cookies(r *http.Request) {
	for _, name := range names {
		for _, c := range r.Cookies() {
			if normalize(c.Name) == name {
				p.add(c.Value)
			}
		}
	}
}

// normalize makes api_key, Api-Key and apiKey the same name.
func normalize(name string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "", ".", "").Replace(name))
}

func known(list []string, s string) bool {
	for _, each := range list {
		if each == s {
			return true
		}
	}
	return false
}

// param is one parameter of a query, raw and decoded.
type param struct {
	raw, name, value string
}

// splitQuery cuts a query into its parameters as a lenient server does: at
// "&" and ";", with names and values decoded as far as they can be.
func splitQuery(query string) []param {
	var out []param
	for _, raw := range strings.FieldsFunc(query, func(r rune) bool { return r == '&' || r == ';' }) {
		name, value, _ := strings.Cut(raw, "=")
		out = append(out, param{raw: raw, name: decode(name), value: decode(value)})
	}
	return out
}

func decode(s string) string {
	if out, err := url.QueryUnescape(s); err == nil {
		return out
	}
	return s
}
