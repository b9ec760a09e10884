package credential

import (
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// LeakError reports a request that repeats its key in a part that is forwarded
// to targets. The error does not contain the key.
type LeakError struct {
	Where string // "path", "query", "body" or "header NAME"
}

func (e *LeakError) Error() string { return "the request repeats its key in its " + e.Where }

// Redacted replaces a credential in a log line.
const Redacted = "[redacted]"

// ForwardedURI returns the path and query to forward, without the parameters that
// carry credentials. It fails with *LeakError if the rest contains a credential.
func (s Set) ForwardedURI(u *url.URL) (string, error) {
	path := u.EscapedPath()
	if s.FoundIn(path) {
		return "", &LeakError{Where: "path"}
	}
	var kept []string
	for _, each := range splitQuery(u.RawQuery) {
		if !contains(credentialNames, normalize(each.name)) {
			kept = append(kept, each.raw)
		}
	}
	if len(kept) == 0 {
		return path, nil
	}
	query := strings.Join(kept, "&")
	if s.FoundIn(query) {
		return "", &LeakError{Where: "query"}
	}
	return path + "?" + query, nil
}

// ForwardedHeader returns the allowed headers to forward. It fails with *LeakError
// if one of them contains a credential.
func (s Set) ForwardedHeader(h http.Header, allowed []string) (map[string]string, error) {
	out := map[string]string{}
	for _, name := range allowed {
		value := h.Get(name)
		if value == "" || contains(credentialHeaders, http.CanonicalHeaderKey(name)) {
			continue
		}
		if s.FoundIn(value) {
			return nil, &LeakError{Where: "header " + name}
		}
		out[name] = value
	}
	return out, nil
}

// CheckBody fails with *LeakError if a body contains a credential.
func (s Set) CheckBody(body []byte) error {
	if s.FoundIn(string(body)) {
		return &LeakError{Where: "body"}
	}
	return nil
}

// FoundIn reports whether a text contains a credential: verbatim, percent-encoded,
// with JSON escapes, in base64 or in hexadecimal.
func (s Set) FoundIn(text string) bool {
	if len(s.secrets) == 0 {
		return false
	}
	for _, form := range decodedForms(text) {
		for _, secret := range s.secrets {
			if containsEncoded(form, secret) {
				return true
			}
		}
	}
	return false
}

// Redact replaces the credentials in a text for a log line. If one is left in
// an encoded form, it replaces the whole text.
func (s Set) Redact(text string) string {
	for _, secret := range s.secrets {
		text = strings.ReplaceAll(text, secret, Redacted)
	}
	if s.FoundIn(text) {
		return Redacted
	}
	return text
}

// decodedForms returns the text and the decodings that may differ from it.
func decodedForms(text string) []string {
	forms := []string{text}
	if strings.ContainsAny(text, "%+") {
		forms = append(forms, unescapePercent(text))
	}
	if strings.Contains(text, `\`) {
		forms = append(forms, unescapeJSON(text))
	}
	return forms
}

// containsEncoded reports whether a text contains the secret, its base64 or its
// hexadecimal form.
func containsEncoded(text, secret string) bool {
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

// base64Forms returns the parts of the base64 of a longer text that depend on the
// secret alone, for each of the three alignments that the secret may have in it.
func base64Forms(secret string) []string {
	firstIndependent := [3]int{0, 2, 3} // by alignment, the first character that does not depend on the preceding bytes
	var out []string
	for before := range 3 {
		padded := append(make([]byte, before), secret...)
		for _, enc := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
			encoded := enc.EncodeToString(padded)
			end := len(encoded)
			if len(padded)%3 != 0 {
				end--
			}
			out = append(out, encoded[firstIndependent[before]:end])
		}
	}
	return out
}

// unescapePercent decodes %XX and "+" and leaves everything else unchanged.
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

// unescapeJSON decodes the escape sequences of JSON strings anywhere in a text.
func unescapeJSON(s string) string {
	const selfEscaped = `"\/`
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
		if strings.IndexByte(selfEscaped, s[i+1]) >= 0 {
			out.WriteByte(s[i+1])
			i++
			continue
		}
		out.WriteByte(s[i])
	}
	return out.String()
}
