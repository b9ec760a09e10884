package credential

import (
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// LeakError reports a request that repeats its key in a place that is passed
// on to targets. It does not hold the key.
type LeakError struct {
	Where string // "path", "query", "body" or "header NAME"
}

func (e *LeakError) Error() string { return "the request repeats its key in its " + e.Where }

// Redacted stands for a credential in a log line.
const Redacted = "[redacted]"

// ForwardedURI returns the path and query to pass on, without the parameters that
// carry credentials. It fails with *LeakError if what remains holds one.
func (p Set) ForwardedURI(u *url.URL) (string, error) {
	path := u.EscapedPath()
	if p.FoundIn(path) {
		return "", &LeakError{Where: "path"}
	}
	var kept []string
	for _, each := range splitQuery(u.RawQuery) {
		if !known(names, normalize(each.name)) {
			kept = append(kept, each.raw)
		}
	}
	if len(kept) == 0 {
		return path, nil
	}
	query := strings.Join(kept, "&")
	if p.FoundIn(query) {
		return "", &LeakError{Where: "query"}
	}
	return path + "?" + query, nil
}

// ForwardedHeader returns the allowed headers to pass on. It fails with *LeakError if
// one of them holds a credential.
func (p Set) ForwardedHeader(h http.Header, allowed []string) (map[string]string, error) {
	out := map[string]string{}
	for _, name := range allowed {
		value := h.Get(name)
		if value == "" || known(headers, http.CanonicalHeaderKey(name)) {
			continue
		}
		if p.FoundIn(value) {
			return nil, &LeakError{Where: "header " + name}
		}
		out[name] = value
	}
	return out, nil
}

// CheckBody fails with *LeakError if a body to be passed on holds a credential.
func (p Set) CheckBody(body []byte) error {
	if p.FoundIn(string(body)) {
		return &LeakError{Where: "body"}
	}
	return nil
}

// FoundIn reports whether a text holds a credential: as it is, percent-encoded,
// with JSON escapes, in base64 or in hexadecimal.
func (p Set) FoundIn(text string) bool {
	if len(p.secrets) == 0 {
		return false
	}
	for _, form := range plainForms(text) {
		for _, secret := range p.secrets {
			if holds(form, secret) {
				return true
			}
		}
	}
	return false
}

// Redact replaces a text that holds a credential, for log lines.
func (p Set) Redact(text string) string {
	for _, secret := range p.secrets {
		text = strings.ReplaceAll(text, secret, Redacted)
	}
	if p.FoundIn(text) {
		return Redacted
	}
	return text
}

// plainForms returns the text and its decodings that differ from it.
func plainForms(text string) []string {
	forms := []string{text}
	if strings.ContainsAny(text, "%+") {
		forms = append(forms, unescapePercent(text))
	}
	if strings.Contains(text, `\`) {
		forms = append(forms, unescapeJSON(text))
	}
	return forms
}

// holds looks for the secret and its encodings.
func holds(text, secret string) bool {
	if strings.Contains(text, secret) {
		return true
	}
	for _, encoded := range base64Forms(secret) {
		if strings.Contains(text, encoded) {
			return true
		}
	}
	encoded := hex.EncodeToString([]byte(secret))
	return strings.Contains(text, encoded) || strings.Contains(text, strings.ToUpper(encoded))
}

// base64Forms returns what the secret's base64 looks like inside a longer
// text, for the three ways in which it may be aligned, without the characters
// that depend on its neighbours.
func base64Forms(secret string) []string {
	firstWhole := [3]int{0, 2, 3} // characters that mix with what precedes
	var out []string
	for before := range 3 {
		padded := append(make([]byte, before), secret...)
		for _, enc := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
			encoded := enc.EncodeToString(padded)
			end := len(encoded)
			if len(padded)%3 != 0 {
				end--
			}
			out = append(out, encoded[firstWhole[before]:end])
		}
	}
	return out
}

// unescapePercent decodes %XX and "+" and leaves all else as it is.
func unescapePercent(s string) string {
	var out strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if b, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
				out.WriteByte(byte(b))
				i += 2
				continue
			}
		}
		if s[i] == '+' {
			out.WriteByte(' ')
			continue
		}
		out.WriteByte(s[i])
	}
	return out.String()
}

// unescapeJSON decodes the escapes of JSON strings wherever they stand.
func unescapeJSON(s string) string {
	const plain = `"\/`
	var out strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' || i+1 == len(s) {
			out.WriteByte(s[i])
			continue
		}
		if s[i+1] == 'u' && i+6 <= len(s) {
			if r, err := strconv.ParseUint(s[i+2:i+6], 16, 16); err == nil {
				out.WriteRune(rune(r))
				i += 5
				continue
			}
		}
		if strings.IndexByte(plain, s[i+1]) >= 0 {
			out.WriteByte(s[i+1])
			i++
			continue
		}
		out.WriteByte(s[i])
	}
	return out.String()
}
