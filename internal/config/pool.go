package config

import (
	"slices"
	"strings"
	"time"

	"martenlock/control"
	"martenlock/control/batching"
	"martenlock/control/scatter"
	"martenlock/internal/inifile"
	"martenlock/internal/openai"
)

// Pool is a set of engines that serve the same models.
type Pool struct {
	Name                 string
	APIs                 []openai.API
	Models               []string              // nil for any
	DefaultClass         int                   // index in Classes, for requests that name no class
	ReportMetrics        []string              // names of the metrics in a load report
	ReportFields         []control.ReportField // meanings of ReportMetrics, by the same index
	ShardLimits          scatter.Limits        // of embeddings and rerank requests
	MaxContextTokens     float64               // tokens of prompt and answer together; 0 for unknown
	LargeTokens          float64               // a request of more tokens is large and waits for admission; 0: no request is large
	OutstandingLargeWork time.Duration         // limit on admitted large requests: the pool must be able to serve them in this time
	Batching             batching.Settings     // of small embeddings requests
	Coalesces            bool                  // identical embeddings inputs that arrive while one is computed share its result
	CacheBytes           int                   // size of the cache of embeddings; 0 disables it
	SharesCache          bool                  // tenants may get embeddings that were computed for other tenants
}

func (c *Config) parsePool(section *inifile.Section) {
	if !section.RequireName() {
		return
	}
	pool := Pool{Name: section.Name, Models: section.List("models")}
	c.parseAPIs(section, &pool)
	pool.ShardLimits = scatter.Limits{
		ShardTokens: section.Float("part_tokens", 0, 0, maxTokens),
		ShardItems:  section.Int("part_items", 0, 0, maxItems),
		Shards:      section.Int("parts", 64, 1, 1024),
	}
	pool.MaxContextTokens = section.Float("max_context", 0, 0, maxTokens)
	pool.LargeTokens = section.Float("large_tokens", pool.ShardLimits.ShardTokens, 0, maxTokens)
	pool.Batching = batching.Settings{
		MaxWait:     section.Duration("join_wait", 0, 0, time.Second),
		BatchItems:  section.Int("join_items", 64, 2, 2048),
		BatchTokens: section.Float("join_tokens", 2000, 1, maxTokens),
	}
	pool.Coalesces = section.Bool("single_flight", true)
	pool.CacheBytes = section.Int("cache_bytes", 0, 0, 1<<40)
	pool.SharesCache = section.Bool("cache_shared", false)
	c.parseDefaultClass(section, &pool)
	pool.parseReport(section)
	c.Pools = append(c.Pools, pool)
}

// parseAPIs parses the operations that a pool serves. It records an error if another pool serves the
// same operation for the same model, because the pool of a request would be ambiguous.
func (c *Config) parseAPIs(section *inifile.Section, pool *Pool) {
	known := strings.Join(openai.APINames(), ", ")
	for _, name := range section.List("apis") {
		api, isKnown := openai.ParseAPI(name)
		if !isKnown {
			section.AddError("apis", "%w API %q, want one of %s", inifile.ErrUnknown, name, known)
			continue
		}
		pool.APIs = append(pool.APIs, api)
		for _, other := range c.Pools {
			if slices.Contains(other.APIs, api) && pool.sharesModelWith(&other) {
				section.AddError("models", "%w model, pool %s also serves %s for the same model", inifile.ErrDuplicate, other.Name, api)
			}
		}
	}
	if len(pool.APIs) == 0 {
		section.AddError("apis", "%w API, want at least one of %s", inifile.ErrMissing, known)
	}
}

// sharesModelWith reports whether both pools may serve the same model. A pool with no models serves
// any model.
func (p *Pool) sharesModelWith(other *Pool) bool {
	if len(p.Models) == 0 || len(other.Models) == 0 {
		return true
	}
	return slices.ContainsFunc(p.Models, func(model string) bool { return slices.Contains(other.Models, model) })
}

// outstandingLargeWorkDivisor makes the default of large_wait a tenth of the default class's objective.
// Requests that wait behind large ones have the rest of the objective for their own work.
const outstandingLargeWorkDivisor = 10

// parseDefaultClass parses the class of requests that name none. It also parses large_wait, whose
// default depends on that class.
func (c *Config) parseDefaultClass(section *inifile.Section, pool *Pool) {
	name := section.Required("class")
	pool.DefaultClass = c.ClassIndex(name)
	if pool.DefaultClass < 0 {
		section.AddError("class", "%w class %q, there is no section [class %s]", inifile.ErrUnknown, name, name)
		return
	}
	objective := c.Control.Classes[c.Classes[pool.DefaultClass].StreamIndex].TTFTObjective
	pool.OutstandingLargeWork = section.Duration("large_wait", objective/outstandingLargeWorkDivisor, 0, time.Minute)
}

// The field names in the key report, and their meanings by the same index.
var (
	reportFieldNames = []string{"other", "in_flight", "queue", "util", "memory", "backlog"}
	reportFields     = []control.ReportField{
		control.ReportOther, control.ReportInFlight, control.ReportQueued,
		control.ReportUtilization, control.ReportMemory, control.ReportBacklog,
	}
)

// parseReport parses the names and meanings of the metrics in a load report.
func (p *Pool) parseReport(section *inifile.Section) {
	for _, pair := range section.List("report") {
		metric, fieldName, isPair := strings.Cut(pair, ":")
		index := slices.Index(reportFieldNames, strings.TrimSpace(fieldName))
		if !isPair || index < 0 {
			section.AddError("report", "%w metric %q, want METRIC:FIELD with one of the fields %s", inifile.ErrInvalid, pair, strings.Join(reportFieldNames, ", "))
			continue
		}
		p.ReportMetrics = append(p.ReportMetrics, strings.TrimSpace(metric))
		p.ReportFields = append(p.ReportFields, reportFields[index])
	}
}
