package demo

import "buckthornseam.dev/seam/internal/config"

// CrashPrompt is a prompt text that makes a stand-in engine abort the connection.
const CrashPrompt = "<crash-engine>"

// API keys of the demo's teams.
const (
	qasrKey  = "key-qasr-0001"
	vanuaKey = "key-vanua-0001"
)

// sample returns a small configuration modelled on the deployments of Qasr and
// Vanua.
func sample() []Instance {
	return []Instance{
		newInstance("team-qasr", "team", map[string]any{"name": "qasr", "rate": 5000, "burst": 20000}),
		newInstance("team-vanua", "team", map[string]any{"name": "vanua", "rate": 5000, "burst": 20000}),
		newInstance("key-qasr", "key", map[string]any{"team": "qasr", "hash": config.HashKey(qasrKey)}),
		newInstance("key-vanua", "key", map[string]any{"team": "vanua", "hash": config.HashKey(vanuaKey)}),
		newInstance("model-invoice", "model", map[string]any{"name": "invoice-7b", "bytes": int64(modelBytes), "pool": "drafting"}),
		newInstance("model-blurb", "model", map[string]any{"name": "blurb-7b", "bytes": int64(modelBytes), "pool": "drafting"}),
		newInstance("model-lease", "model", map[string]any{"name": "lease-13b", "bytes": int64(2 * modelBytes), "pool": "drafting"}),
		newInstance("offer-invoice", "offering", map[string]any{"team": "qasr", "name": "invoice-draft", "model": "invoice-7b"}),
		newInstance("offer-blurb", "offering", map[string]any{"team": "vanua", "name": "listing-blurb", "model": "blurb-7b"}),
		newInstance("offer-lease", "offering", map[string]any{"team": "vanua", "name": "lease-summary", "model": "lease-13b"}),
		newInstance("service-billing", "service", map[string]any{"name": "billing", "prefix": "/billing", "non_repeatable": true, "teams": []string{"qasr"}}),
		newInstance("service-booking", "service", map[string]any{"name": "booking", "prefix": "/booking", "non_repeatable": true, "teams": []string{"vanua"}}),
		newInstance("service-tariffs", "service", map[string]any{"name": "tariffs", "prefix": "/tariffs", "open": true}),
	}
}
