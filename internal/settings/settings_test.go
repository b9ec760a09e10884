package settings

import (
	"encoding/json"
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
)

const validJSON = `{
 "host": {"name": "h", "zone": "suva"},
 "callers": {"listen": "127.0.0.1:1", "advertise": "127.0.0.1:1"},
 "peers": {"listen": "127.0.0.1:2", "advertise": "127.0.0.1:2", "secret": "0123456789abcdef"},
 "admin": {"listen": "127.0.0.1:3", "token_hash": "` + tokenHash + `"},
 "platform": {"url": "http://127.0.0.1:4"}
}`

const tokenHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("f", []byte(validJSON))
	if err != nil {
		t.Fatal(err)
	}
	if s.Requests != Defaults().Requests || s.Host.Zone != "suva" {
		t.Errorf("got %+v", s)
	}
}

// TestEveryFaultIsReported checks that one run of Parse reports all faults by path.
func TestEveryFaultIsReported(t *testing.T) {
	for _, tc := range []struct {
		name, doc string
		want      []string
	}{
		{"not JSON", `{`, []string{"."}},
		{"shape", `{"host": {"name": 1, "nam": "x"}, "hosts": {}, "requests": {"body_bytes": 1.5}, "log": "info"}`,
			[]string{"host.nam", "host.name", "hosts", "log", "requests.body_bytes",
				"host.zone", "callers.listen", "callers.advertise", "peers.listen", "peers.advertise", "peers.secret",
				"admin.listen", "admin.token_hash", "platform.url"}},
		{"values", `{"peers": {"secret": "short"}, "callers": {"listen": "localhost"}, "log": {"level": "loud"}}`,
			[]string{"host.name", "host.zone", "callers.listen", "callers.advertise", "peers.listen", "peers.advertise",
				"peers.secret", "admin.listen", "admin.token_hash", "platform.url", "log.level"}},
	} {
		_, err := Parse("f", []byte(tc.doc))
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: got error %v, want *InvalidError", tc.name, err)
			continue
		}
		var got []string
		for _, f := range invalid.Faults {
			got = append(got, f.Path)
		}
		if !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: faults at %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestDocumentationListsEveryField checks that the reference of settings has a row
// for each field and no others.
func TestDocumentationListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(Settings{})
	if err != nil {
		t.Fatal(err)
	}
	var sections map[string]map[string]any
	if err := json.Unmarshal(data, &sections); err != nil {
		t.Fatal(err)
	}
	fields := 0
	for section, names := range sections {
		for name := range names {
			fields++
			if !strings.Contains(string(page), "| `"+section+"."+name+"` |") {
				t.Errorf("settings.md has no row for %s.%s", section, name)
			}
		}
	}
	if rows := strings.Count(string(page), "\n| `"); rows != fields {
		t.Errorf("settings.md has %d rows for %d fields", rows, fields)
	}
}
