package demo

import (
	"fmt"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/load"
)

// Preset describes a deployment of the size that one of the users runs.
type Preset struct {
	Name           string
	Zones          []string
	Engines        int
	Models         int
	Teams          []string // largest first
	Service        string   // name of the service whose calls must not be repeated
	LoadsPerSecond float64  // loads that the weight store starts in a second
}

// Presets returns all presets by name.
func Presets() map[string]Preset {
	return map[string]Preset{
		"qasr": {
			Name: "qasr", Zones: []string{"aqaba-a", "maan-b", "karak-c"}, Engines: 10, Models: 50,
			Teams: []string{"terminal-south", "terminal-north", "depot-maan", "depot-karak", "berth-office"}, Service: "billing", LoadsPerSecond: 8,
		},
		"vanua": {
			Name: "vanua", Zones: []string{"suva", "lautoka", "nadi"}, Engines: 20, Models: 100,
			Teams: []string{"counter-suva", "counter-nadi", "fair-lautoka", "council-desk", "lets-office"}, Service: "booking", LoadsPerSecond: 6,
		},
	}
}

// TeamKey returns the API key of a team of a preset.
func TeamKey(team string) string { return "key-" + team }

// Rates of the teams of a preset. The first team's rate is several times that of
// the others.
const (
	largeTeamRate = 400_000 // tokens a second
	smallTeamRate = 100_000
	burstSeconds  = 2 // burst, in seconds at the rate
)

// Instances returns the template instances of a preset.
func (p Preset) Instances() []Instance {
	var out []Instance
	for i, team := range p.Teams {
		rate := smallTeamRate
		if i == 0 {
			rate = largeTeamRate
		}
		out = append(out,
			newInstance("team-"+team, "team", map[string]any{"name": team, "rate": rate, "burst": rate * burstSeconds}),
			newInstance("key-"+team, "key", map[string]any{"team": team, "hash": config.HashKey(TeamKey(team))}))
	}
	for m := range p.Models {
		name := modelName(m)
		out = append(out, newInstance("model-"+name, "model", map[string]any{
			"name": name, "bytes": int64(modelBytes), "pool": "drafting", "idle_seconds": 60,
		}))
		for _, team := range p.Teams {
			out = append(out, newInstance("offer-"+team+"-"+name, "offering", map[string]any{"team": team, "name": name, "model": name}))
		}
	}
	return append(out,
		newInstance("service-"+p.Service, "service", map[string]any{"name": p.Service, "prefix": "/" + p.Service, "non_repeatable": true}),
		newInstance("service-tariffs", "service", map[string]any{"name": "tariffs", "prefix": "/tariffs", "open": true}))
}

func modelName(i int) string { return fmt.Sprintf("draft-%02d", i) }

// Requests returns one request of each team to each of the first models, and one of
// each team to the preset's service. Load generators draw from them.
func (p Preset) Requests(models, tokens int) (modelRequests, serviceRequests []load.Request) {
	for i, team := range p.Teams {
		zone := p.Zones[i%len(p.Zones)]
		for m := range models {
			modelRequests = append(modelRequests, load.Request{
				Team: team, Key: TeamKey(team), Zone: zone, Model: modelName(m), PromptWords: 20, MaxTokens: tokens,
			})
		}
		serviceRequests = append(serviceRequests, load.Request{Team: team, Key: TeamKey(team), Zone: zone, Service: "/" + p.Service + "/orders"})
	}
	return modelRequests, serviceRequests
}
