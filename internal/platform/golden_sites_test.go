package platform

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martenlock/control"
	"martenlock/internal/platformsettings"
)

// TestGoldenSites compares, for each deployment in deploy/sites, the parsed configuration of a router, and the bytes of
// a health check and of one exchange per request class, with golden files.
func TestGoldenSites(t *testing.T) {
	t.Parallel()
	wire, protocol := readJSON[wireNames](t, "wire.json"), readJSON[httpNames](t, "real.json")
	files, err := filepath.Glob(filepath.Join(sitesDir, "*.toml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no site files in %s: %v", sitesDir, err)
	}
	for _, path := range files {
		file := filepath.Base(path)
		name := strings.TrimSuffix(file, ".toml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := readSite(t, file)
			g := newGoldenHarness(t, site.Tier[0].Kind[0].Name, site.Tier[0].Kind[1].Name)
			g.zone = site.Net.Zones[0]
			config := g.config(siteSettings(t, &site, &wire, &protocol), siteList(g.list(1), &protocol))
			compareGolden(t, "site-"+name+"-settings", dumpConfig(t, loadGoldenConfig(t, config)))
			g.startWith(config)

			g.exchange("GET " + protocol.Paths.Ready + " HTTP/1.1\r\nHost: x\r\n\r\n")
			for _, class := range site.Class {
				deadline := time.Duration(class.Deadline) * time.Millisecond
				g.exchange(g.chat(class.Name, siteEdits(&protocol, deadline)...))
			}

			compareGolden(t, "site-"+name, g.transcript())
		})
	}
}

var (
	goldenRoles         = map[control.Role]string{control.RolePrefill: "prefill", control.RoleDecode: "decode", control.RoleColocated: "both"}
	goldenIdempotencies = map[control.Idempotency]string{control.Idempotent: "idempotent", control.IdempotentWithKey: "deduplicated", control.NotIdempotent: "at most once"}
)

// goldenClass is a request class in a golden file.
type goldenClass struct {
	Name              string  `json:"name"`
	TTFTObjective     string  `json:"first_token_target"`
	TTFTPer1000Tokens string  `json:"first_token_target_per_1000_prompt_tokens"`
	ITLObjective      string  `json:"token_interval_target"`
	Deadline          string  `json:"deadline"`
	PriorityWeight    float64 `json:"worth"`
	LateWeightShare   float64 `json:"late_worth"`
	Idempotency       string  `json:"effect"`
	MaxAttempts       int     `json:"max_attempts"`
}

// goldenKind is a kind of engine in a golden file.
type goldenKind struct {
	Name         string  `json:"name"`
	Role         string  `json:"role"`
	MemoryTokens float64 `json:"memory_tokens"`
}

// goldenConfig is a configuration in a golden file. Its JSON names are independent of the code's names.
type goldenConfig struct {
	Seed                   string        `json:"seed"`
	Name                   string        `json:"router_name"`
	Cores                  float64       `json:"cores"`
	MemoryMB               float64       `json:"memory_mb"`
	Sockets                int           `json:"sockets"`
	Routers                int           `json:"routers"`
	Rank                   int           `json:"rank"`
	Zone                   uint16        `json:"zone"`
	Zones                  []string      `json:"zones"`
	Classes                []goldenClass `json:"classes"`
	Kinds                  []goldenKind  `json:"engine_kinds"`
	ReportFields           int           `json:"load_report_fields"`
	Tenants                int           `json:"tenants"`
	CanHealthCheck         bool          `json:"probes"`
	CanCancel              bool          `json:"cancel"`
	MustSubscribe          bool          `json:"engine_list_is_asked_for"`
	DecodeCanPrefill       bool          `json:"decode_engines_prefill"`
	ResumesStreams         bool          `json:"resume"`
	MaxAttempts            int           `json:"max_attempts"`
	MaxRequests            int           `json:"max_held_requests"`
	MaxRetryAfter          string        `json:"max_retry_after"`
	ConnectTimeout         string        `json:"connect_timeout"`
	EngineKeepAliveTimeout string        `json:"connection_idle"`
	KVRetentionLimit       string        `json:"held_state_limit"`
	DrainGrace             string        `json:"drain_grace"`
	AnswerGrace            string        `json:"answer_grace"`
	InitialShare           float64       `json:"cold_start_share"`
	SlowStartDuration      string        `json:"cold_start_time"`
	OverloadMultiple       float64       `json:"overload_multiple"`
	OverloadDuration       string        `json:"overload_time"`
}

// dumpConfig returns the parsed configuration in the form of the golden files.
func dumpConfig(t *testing.T, cfg *Config) string {
	t.Helper()
	settings, ctl := &cfg.Settings, &cfg.Settings.Control
	out := goldenConfig{
		Seed: fmt.Sprintf("%016x", ctl.Identity.Seed), Name: cfg.Name, Cores: cfg.Limits.Cores, MemoryMB: cfg.Limits.MemoryMB, Sockets: cfg.Limits.Sockets,
		Routers: ctl.Identity.Routers, Rank: ctl.Identity.Rank, Zone: ctl.Identity.Zone, Zones: settings.ZoneNames, Classes: dumpClasses(settings), Kinds: dumpKinds(settings),
		ReportFields: len(ctl.Engines.ReportFields), Tenants: len(ctl.Tenants), CanHealthCheck: ctl.Caller.CanHealthCheck, CanCancel: ctl.Caller.CanCancel, MustSubscribe: ctl.Caller.MustSubscribe,
		DecodeCanPrefill: ctl.Engines.DecodeCanPrefill, ResumesStreams: settings.ResumesStreams, MaxAttempts: ctl.Limits.MaxAttempts, MaxRequests: settings.MaxRequests,
		MaxRetryAfter: ctl.Limits.MaxRetryAfter.String(), ConnectTimeout: ctl.Limits.ConnectTimeout.String(), EngineKeepAliveTimeout: settings.EngineKeepAliveTimeout.String(),
		KVRetentionLimit: ctl.Limits.KVRetentionLimit.String(), DrainGrace: ctl.Limits.DrainGrace.String(), AnswerGrace: ctl.Limits.AnswerGrace.String(),
		InitialShare: ctl.SlowStart.InitialShare, SlowStartDuration: ctl.SlowStart.Duration.String(), OverloadMultiple: ctl.SlowStart.OverloadMultiple, OverloadDuration: ctl.SlowStart.OverloadDuration.String(),
	}
	text, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text) + "\n"
}

func dumpClasses(settings *platformsettings.Settings) (out []goldenClass) {
	for i, class := range settings.Control.Classes {
		out = append(out, goldenClass{
			Name: settings.ClassNames[i], TTFTObjective: class.TTFTObjective.String(), TTFTPer1000Tokens: class.TTFTPer1000Tokens.String(), ITLObjective: class.ITLObjective.String(),
			Deadline: class.Deadline.String(), PriorityWeight: class.PriorityWeight, LateWeightShare: class.LateWeightShare, Idempotency: goldenIdempotencies[class.Idempotency], MaxAttempts: class.MaxAttempts,
		})
	}
	return out
}

func dumpKinds(settings *platformsettings.Settings) (out []goldenKind) {
	for i, kind := range settings.Control.Engines.Kinds {
		out = append(out, goldenKind{Name: settings.KindNames[i], Role: goldenRoles[kind.Role], MemoryTokens: float64(kind.MemoryTokens)})
	}
	return out
}
