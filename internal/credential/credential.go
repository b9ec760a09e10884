// Package credential extracts the key that a caller presents and keeps it, and
// every other credential in the request, from reaching targets and logs.
//
// The usual places for credentials are not forwarded: only headers on an allow
// list are, cookies and trailers never are, and query parameters that carry
// credentials are removed. A request that repeats its key elsewhere, in the
// path, an allowed header or the body, is refused rather than altered, because
// a target might interpret an altered body in another way.
package credential

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"
)

// credentialHeaders are the headers that carry credentials, in order of
// precedence.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token", "X-Access-Token"}

// proxyHeader carries credentials for a proxy. They are kept from targets, but are no key.
const proxyHeader = "Proxy-Authorization"

// credentialNames are the names of query parameters and cookies that carry
// credentials, normalized and in order of precedence.
var credentialNames = []string{"apikey", "xapikey", "accesstoken", "authtoken", "authorization", "key", "token"}

// keySchemes are the authentication schemes, in lower case, whose credential is
// the key itself without any encoding.
var keySchemes = []string{"bearer", "token", "apikey", "api-key", "key"}

// minSecretBytes is the least length of a value that is searched for outside the
// usual places for credentials. Shorter values are not keys and occur by chance.
const minSecretBytes = 8

// minUserKeyBytes is the least length of a user name that may be a key. A shorter
// one, such as the name of a workplace, may well occur in the body too.
const minUserKeyBytes = 20

// Set holds the credentials of a request.
type Set struct {
	key       string
	secrets   []string // all distinct credentials, including the key
	ambiguous bool     // the Authorization header is given more than once, with different values
}

// Find collects the credentials of a request. It does not read the body.
func Find(r *http.Request) Set {
	var s Set
	for _, name := range credentialHeaders {
		for _, value := range r.Header.Values(name) {
			s.addHeader(value)
		}
	}
	s.ambiguous = differ(r.Header.Values("Authorization"))
	s.addProxyHeaders(r.Header.Values(proxyHeader))
	s.addQuery(r.URL)
	s.addCookies(r)
	if r.URL.User != nil {
		s.addBasic(r.URL.User.Username(), passwordOf(r.URL.User))
	}
	return s
}

// differ reports whether a header was given more than once with different values.
func differ(values []string) bool {
	for _, v := range values {
		if v != values[0] {
			return true
		}
	}
	return false
}

// addProxyHeaders records credentials for a proxy as secrets.
func (s *Set) addProxyHeaders(values []string) {
	var proxy Set
	for _, value := range values {
		proxy.addHeader(value)
	}
	for _, secret := range proxy.secrets {
		s.addSecret(secret)
	}
}

// Ambiguous reports whether the request presents several keys of equal rank.
func (s Set) Ambiguous() bool { return s.ambiguous }

// Extract returns the key that a request presents. It looks in the headers
// Authorization (Bearer, Basic or without a scheme), X-Api-Key, Api-Key and
// similar ones, then in the query, then in cookies. Ok is false if there is none.
func Extract(r *http.Request) (key string, ok bool) {
	return Find(r).Key()
}

// Key returns the key that the request presents.
func (s Set) Key() (key string, ok bool) { return s.key, s.key != "" }

// addKey records a credential that may be the key. The first one is the key.
func (s *Set) addKey(value string) {
	if value == "" {
		return
	}
	if s.key == "" {
		s.key = value
	}
	s.addSecret(value)
}

// addSecret records a value that must not leave this host.
func (s *Set) addSecret(value string) {
	for _, each := range s.secrets {
		if each == value {
			return
		}
	}
	if len(value) >= minSecretBytes {
		s.secrets = append(s.secrets, value)
	}
}

func (s *Set) addHeader(value string) {
	value = strings.TrimSpace(value)
	scheme, rest, found := strings.Cut(value, " ")
	rest = strings.TrimSpace(rest)
	switch {
	case !found:
		s.addKey(value)
	case strings.EqualFold(scheme, "basic"):
		s.addSecret(rest)
		s.addBasicEncoded(rest)
	case contains(keySchemes, strings.ToLower(scheme)):
		s.addKey(rest)
	default:
		s.addSecret(rest)
		s.addSecret(value)
	}
}

func (s *Set) addBasicEncoded(encoded string) {
	data, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		data, err = base64.RawStdEncoding.DecodeString(encoded)
	}
	if err != nil {
		return
	}
	user, password, _ := strings.Cut(string(data), ":")
	s.addBasic(user, password)
}

// addBasic records the password as the key, or the user name if the password is
// empty. A user name that is long enough to be a key is recorded as a secret even
// with a password, because some callers send the key there with a dummy password.
func (s *Set) addBasic(user, password string) {
	if password == "" {
		s.addKey(user)
		return
	}
	s.addKey(password)
	if len(user) >= minUserKeyBytes {
		s.addSecret(user)
	}
}

func passwordOf(u *url.Userinfo) string {
	password, _ := u.Password()
	return password
}

func (s *Set) addQuery(u *url.URL) {
	for _, name := range credentialNames {
		for _, each := range splitQuery(u.RawQuery) {
			if normalize(each.name) == name {
				s.addKey(each.value)
			}
		}
	}
}

func (s *Set) addCookies(r *http.Request) {
	for _, name := range credentialNames {
		for _, c := range r.Cookies() {
			if normalize(c.Name) == name {
				s.addKey(c.Value)
			}
		}
	}
}

// normalize converts a name to lower case without separators, so that api_key,
// Api-Key and apiKey are the same name.
func normalize(name string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "", ".", "").Replace(name))
}

func contains(list []string, s string) bool {
	for _, each := range list {
		if each == s {
			return true
		}
	}
	return false
}

// param is a query parameter, raw and decoded.
type param struct {
	raw, name, value string
}

// splitQuery splits a query into its parameters as a lenient server does: at "&"
// and ";". Names and values that cannot be decoded are left as they are.
func splitQuery(query string) []param {
	var out []param
	for _, raw := range strings.FieldsFunc(query, func(r rune) bool { return r == '&' || r == ';' }) {
		name, value, _ := strings.Cut(raw, "=")
		out = append(out, param{raw: raw, name: unescapeQuery(name), value: unescapeQuery(value)})
	}
	return out
}

func unescapeQuery(s string) string {
	if out, err := url.QueryUnescape(s); err == nil {
		return out
	}
	return s
}
