package explain

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const logs = `  1.0 h1 {"event":"request","host":"h1","id":"other","model":"n","status":200,"target":"e9","time":"2026-01-01T00:00:01.000Z","took_ms":20}
not a log line
  2.0 h2 {"event":"move_planned","host":"h2","load":"m","engine":"e1","move":7,"time":"2026-01-01T00:00:01.500Z"}
  2.1 h3 {"event":"order","host":"h3","model":"m","engine":"e1","outcome":"accepted","time":"2026-01-01T00:00:01.600Z"}
  2.2 h3 {"event":"order","host":"h3","model":"x","engine":"e5","outcome":"accepted","time":"2026-01-01T00:00:01.700Z"}
  2.5 h1 {"event":"store_lost","host":"h1","kind":"config","time":"2026-01-01T00:00:02.000Z"}
  3.0 h1 {"event":"request","host":"h1","id":"a1","model":"m/a2","status":200,"target":"e1","chosen_ms":900,"time":"2026-01-01T00:00:02.500Z","took_ms":1200}
  9.0 h2 {"event":"move_planned","host":"h2","load":"m","engine":"e1","move":8,"time":"2026-01-01T00:00:09.000Z"}
`

func TestExplainRequest(t *testing.T) {
	var out bytes.Buffer
	if err := Explain(strings.NewReader(logs), &out, "a1"); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "story", out.Bytes())
}

func TestExplainUnknownID(t *testing.T) {
	var missing *NotFoundError
	if err := Explain(strings.NewReader(logs), &bytes.Buffer{}, "nobody"); !errors.As(err, &missing) {
		t.Errorf("got %v", err)
	}
}
