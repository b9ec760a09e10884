package swap

import "testing"

func limited(e Engine) Engine {
	e.Limit = minLimit / 2.0
	return e
}

// TestCopyAtLimitedEngineServesFewRequests guards against requests that wait for an engine in need while another one could
// load their model.
func TestCopyAtLimitedEngineServesFewRequests(t *testing.T) {
	demand := map[string]Demand{"rare": {Waiting: 1, Due: now + 1}}
	for name, c := range map[string]struct {
		engines []Engine
		want    string // engine that loads the model; empty: none
		source  Source
	}{
		"on another disk":             {[]Engine{limited(engine("e1", disk("rare"), map[string]Copy{"rare": {}})), engine("e2", disk("rare"), map[string]Copy{})}, "e2", FromDisk},
		"only there":                  {[]Engine{limited(engine("e1", disk("rare"), map[string]Copy{"rare": {}})), engine("e2", nil, map[string]Copy{})}, "", 0},
		"only on its disk":            {[]Engine{limited(engine("e1", disk("rare"), map[string]Copy{})), engine("e2", nil, map[string]Copy{})}, "e1", FromDisk},
		"on its disk and another one": {[]Engine{limited(engine("e1", disk("rare"), map[string]Copy{})), engine("e2", disk("rare"), map[string]Copy{})}, "e2", FromDisk},
	} {
		got := Plan(State{Now: now, Models: models("rare"), Engines: c.engines, Demands: demand}, DefaultOptions())
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || got[0].Engine != c.want || got[0].Source != c.source) {
			t.Errorf("%s: got %+v, want a load by %q", name, got, c.want)
		}
	}
}

// TestHotModelGetsCopiesBesideLimitedEngines guards against a hot model whose copies are at engines in need.
func TestHotModelGetsCopiesBesideLimitedEngines(t *testing.T) {
	s := State{
		Now: now, Models: models("hot"), Demands: map[string]Demand{"hot": {Rate: 10}},
		Engines: []Engine{
			limited(engine("e1", disk("hot"), map[string]Copy{"hot": {}})), engine("e2", disk("hot"), map[string]Copy{"hot": {}}),
			engine("e3", disk("hot"), map[string]Copy{}),
		},
	}
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Engine != "e3" {
		t.Errorf("got %+v, want a copy on e3", got)
	}
}
