package homes

import (
	"reflect"
	"strings"
	"testing"
)

// TestBindingOfRouteAndTeam guards against a request that leaves the homes of its route because its team has others, and
// against requests without homes being bound.
func TestBindingOfRouteAndTeam(t *testing.T) {
	zones := map[string]string{"z1": "eu", "z2": "us", "z3": ""}
	for name, c := range map[string]struct {
		route, team []string
		want        Binding
		refusal     string // part of it; empty: it is served
	}{
		"no homes":                    {nil, []string{}, Binding{}, ""},
		"route":                       {[]string{"us", "eu", "us"}, nil, Binding{[]string{"eu", "us"}, ByRoute}, ""},
		"team":                        {nil, []string{"eu"}, Binding{[]string{"eu"}, ByTeam}, ""},
		"both":                        {[]string{"us", "eu"}, []string{"eu", "as"}, Binding{[]string{"eu"}, ByBoth}, ""},
		"nothing in common":           {[]string{"us"}, []string{"eu"}, Binding{[]string{}, ByBoth}, "both the route and the team"},
		"unknown region":              {[]string{"mars"}, nil, Binding{[]string{"mars"}, ByRoute}, "no zone of the deployment"},
		"an unknown and a known one":  {[]string{"mars", "eu"}, nil, Binding{[]string{"eu", "mars"}, ByRoute}, ""},
		"unreadable entries":          {[]string{""}, nil, Binding{[]string{}, ByRoute}, "name no region"},
		"unreadable entries of teams": {[]string{"eu"}, []string{""}, Binding{[]string{}, ByBoth}, "both"},
	} {
		got := Bind(c.route, c.team)
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
		reason := got.Refusal(zones)
		if (reason == "") != (c.refusal == "") || !strings.Contains(reason, c.refusal) {
			t.Errorf("%s: refusal %q, want one with %q", name, reason, c.refusal)
		}
		if got.Bound() == Allows(got.Regions, "") {
			t.Errorf("%s: bound %v, and a zone without a region is allowed: %v", name, got.Bound(), Allows(got.Regions, ""))
		}
	}
	if got := Common(nil, []string{"us", "eu"}, []string{}, []string{"eu"}); !reflect.DeepEqual(got, []string{"eu"}) {
		t.Errorf("common homes %v, want eu", got)
	}
	if got := Common([]string{"us"}, []string{"eu"}); got == nil || len(got) > 0 {
		t.Errorf("common homes %#v of lists without a common region, want an empty list", got)
	}
	if got := Unknown([]string{"mars", "eu", ""}, zones); !reflect.DeepEqual(got, []string{"", "mars"}) {
		t.Errorf("unknown homes %q", got)
	}
}
